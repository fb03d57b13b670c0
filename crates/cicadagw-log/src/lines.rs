//! The appender that writes JSON lines.

use std::fmt;
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use cicadagw_unit::id;
use cicadagw_unit::time::Timestamp;
use compact_str::ToCompactString;
use logforth::diagnostic::StaticDiagnostic;
use logforth::kv::{Key, Value};
use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};

use crate::limit::{self, Limiter, Summary};

/// The key of the field that holds the name of the node.
const NODE: &str = "node";

/// Writes log records to `W` as JSON lines, and rate-limits repeated messages.
pub struct Lines<W> {
    static_fields: [Box<dyn Diagnostic>; 1],
    layout: JsonLayout,
    start: Instant,
    state: Mutex<State<W>>,
}

/// The state behind the lock, which the logging threads take for each record.
struct State<W> {
    limiter: Limiter,
    out: W,
}

impl<W> Lines<W> {
    /// Creates an appender that writes to `out` and adds the name of `node` to every line.
    pub fn new(out: W, node: &id::Node) -> Self {
        let mut fields = StaticDiagnostic::default();
        fields.insert(NODE, node.as_str());
        Self {
            static_fields: [fields.into()],
            layout: JsonLayout::default(),
            start: Instant::now(),
            state: Mutex::new(State {
                limiter: Limiter::default(),
                out,
            }),
        }
    }

    /// Returns the time since the appender was created.
    fn now(&self) -> Timestamp {
        Timestamp::default().after(self.start.elapsed().into())
    }
}

impl<W: Write> Lines<W> {
    /// Writes one record as a line.
    fn write(&self, out: &mut W, record: &Record<'_>) -> Result<(), Error> {
        let mut line = self.layout.format(record, &self.static_fields)?;
        line.push(b'\n');
        out.write_all(&line).map_err(Error::from_io_error)
    }

    /// Writes the line that reports suppressed lines.
    fn write_summary(&self, out: &mut W, summary: &Summary) -> Result<(), Error> {
        let fields = [
            (Key::new("repeats"), Value::u64(u64::from(summary.repeats))),
            (Key::new("of"), Value::str(&summary.key.message)),
        ];
        let record = Record::builder()
            .level(Level::Warn)
            .target(&summary.key.target)
            .payload(format_args!("suppressed repeated lines"))
            .key_values(fields.as_slice())
            .build();
        self.write(out, &record)
    }
}

impl<W> fmt::Debug for Lines<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").finish_non_exhaustive()
    }
}

impl<W: Send + Write + 'static> Append for Lines<W> {
    fn append(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let key = limit::Key {
            target: record.target().into(),
            message: record.payload().to_compact_string(),
        };
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let State { limiter, out } = &mut *state;
        let decision = limiter.admit(self.now(), key);
        for summary in &decision.summaries {
            self.write_summary(out, summary)?;
        }
        if decision.write {
            self.write(out, record)?;
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let State { limiter, out } = &mut *state;
        for summary in limiter.drain() {
            self.write_summary(out, &summary)?;
        }
        out.flush().map_err(Error::from_io_error)
    }
}
