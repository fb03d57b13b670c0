//! The writer of lines.

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

/// The name of the field that names the node.
const NODE: &str = "node";

/// Writes records to `W` as JSON lines, with a limit on repeats.
pub struct Lines<W> {
    diags: [Box<dyn Diagnostic>; 1],
    layout: JsonLayout,
    origin: Instant,
    state: Mutex<State<W>>,
}

/// What the threads that log share.
struct State<W> {
    limiter: Limiter,
    out: W,
}

impl<W> Lines<W> {
    /// Creates a writer of lines of `node` to `out`.
    pub fn new(out: W, node: &id::Node) -> Self {
        let mut fields = StaticDiagnostic::default();
        fields.insert(NODE, node.as_str());
        Self {
            diags: [fields.into()],
            layout: JsonLayout::default(),
            origin: Instant::now(),
            state: Mutex::new(State {
                limiter: Limiter::default(),
                out,
            }),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::default().after(self.origin.elapsed().into())
    }
}

impl<W: Write> Lines<W> {
    fn write(&self, out: &mut W, record: &Record<'_>) -> Result<(), Error> {
        let mut line = self.layout.format(record, &self.diags)?;
        line.push(b'\n');
        out.write_all(&line).map_err(Error::from_io_error)
    }

    fn write_summary(&self, out: &mut W, summary: &Summary) -> Result<(), Error> {
        let fields = [
            (Key::new("repeats"), Value::u64(u64::from(summary.repeats))),
            (Key::new("of"), Value::str(&summary.key.message)),
        ];
        let record = Record::builder()
            .level(Level::Warn)
            .target(&summary.key.target)
            .payload(format_args!("held repeats back"))
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
        let verdict = limiter.admit(self.now(), key);
        for summary in &verdict.summaries {
            self.write_summary(out, summary)?;
        }
        if verdict.write {
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
