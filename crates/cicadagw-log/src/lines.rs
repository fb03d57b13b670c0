//! The appender that writes JSON lines.

use std::fmt;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
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
use crate::sink::{Backlog, Sink};

/// The key of the field that holds the name of the node.
const NODE: &str = "node";

/// Writes log records as JSON lines, and rate-limits repeated messages. No call waits for the output:
/// lines that it does not take in time are dropped, counted and reported.
pub struct Lines {
    static_fields: [Box<dyn Diagnostic>; 1],
    layout: JsonLayout,
    sink: Sink,
    start: Instant,
    state: Mutex<State>,
}

/// The state behind the lock, which the logging threads take for each record.
#[derive(Default)]
struct State {
    limiter: Limiter,
    /// How many of the dropped lines have been reported.
    reported: u64,
}

impl Lines {
    /// Creates an appender that writes to `out`, from a thread of its own, and adds the name of `node`
    /// to every line.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static, node: &id::Node) -> io::Result<Self> {
        let mut fields = StaticDiagnostic::default();
        fields.insert(NODE, node.as_str());
        Ok(Self {
            static_fields: [fields.into()],
            layout: JsonLayout::default(),
            sink: Sink::start(out)?,
            start: Instant::now(),
            state: Mutex::default(),
        })
    }

    /// Returns the counts of the lines that wait and of those that were dropped.
    pub(crate) const fn backlog(&self) -> &Arc<Backlog> {
        self.sink.backlog()
    }

    /// Returns the time since the appender was created.
    fn now(&self) -> Timestamp {
        Timestamp::default().after(self.start.elapsed().into())
    }

    /// Formats a record as a line.
    fn line(&self, record: &Record<'_>) -> Result<Vec<u8>, Error> {
        let mut line = self.layout.format(record, &self.static_fields)?;
        line.push(b'\n');
        Ok(line)
    }

    /// Formats a warning with a number.
    fn notice(
        &self,
        target: &str,
        message: fmt::Arguments<'_>,
        fields: &[(Key<'_>, Value<'_>)],
    ) -> Result<Vec<u8>, Error> {
        let record = Record::builder()
            .level(Level::Warn)
            .target(target)
            .payload(message)
            .key_values(fields)
            .build();
        self.line(&record)
    }

    /// Reports the lines that were dropped since the last report, if there is room for that again.
    fn report_dropped(&self, state: &mut State) -> Result<(), Error> {
        let dropped = self.backlog().dropped();
        if dropped == state.reported {
            return Ok(());
        }
        let lines = Value::u64(dropped - state.reported);
        let fields = [(Key::new("lines"), lines)];
        let message = format_args!("dropped lines that the output did not take in time");
        let report = self.notice(module_path!(), message, &fields)?;
        if self.sink.try_push(report) {
            state.reported = dropped;
        }
        Ok(())
    }

    /// Queues the line that reports suppressed lines.
    fn push_summary(&self, summary: &Summary) -> Result<(), Error> {
        let fields = [
            (Key::new("repeats"), Value::u64(u64::from(summary.repeats))),
            (Key::new("of"), Value::str(&summary.key.message)),
        ];
        let target = &summary.key.target;
        self.sink
            .push(self.notice(target, format_args!("suppressed repeated lines"), &fields)?);
        Ok(())
    }
}

impl fmt::Debug for Lines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").finish_non_exhaustive()
    }
}

impl Append for Lines {
    fn append(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let key = limit::Key {
            target: record.target().into(),
            message: record.payload().to_compact_string(),
        };
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let decision = state.limiter.admit(self.now(), key);
        self.report_dropped(&mut state)?;
        for summary in &decision.summaries {
            self.push_summary(summary)?;
        }
        if decision.write {
            self.sink.push(self.line(record)?);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.report_dropped(&mut state)?;
        for summary in state.limiter.drain() {
            self.push_summary(&summary)?;
        }
        drop(state);
        // An error would be written to the standard error, which may be a pipe that nobody reads either.
        self.sink.flush();
        Ok(())
    }
}
