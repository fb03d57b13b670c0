//! The appender that writes JSON lines.

use std::fmt;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use cicadagw_unit::time::Timestamp;
use compact_str::ToCompactString;
use logforth::kv::{Key, Value};
use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};

use crate::Name;
use crate::limit::{self, Limiter, Summary};
use crate::sink::{Backlog, Sink};

/// Writes log records as JSON lines, and rate-limits repeated messages. No call waits for the output:
/// lines that it does not take in time are dropped, counted and reported. Clones write to the same
/// output.
#[derive(Clone)]
pub struct Lines(Arc<Shared>);

/// What the clones of [`Lines`] share.
struct Shared {
    /// The name of the node.
    fields: [Box<dyn Diagnostic>; 1],
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
    /// Creates an appender that writes to `out`, from a thread of its own, and adds the `name` of the
    /// node to every line, once it is known.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static, name: Name) -> io::Result<Self> {
        Ok(Self(Arc::new(Shared {
            fields: [name.into()],
            layout: JsonLayout::default(),
            sink: Sink::start(out)?,
            start: Instant::now(),
            state: Mutex::default(),
        })))
    }

    /// Returns the counts of the lines that wait and of those that were dropped.
    pub(crate) fn backlog(&self) -> &Arc<Backlog> {
        self.0.sink.backlog()
    }

    /// Queues a line that says why a thread or the process ends. It is not limited, and has room when
    /// other lines are dropped.
    pub fn report_end(
        &self,
        level: Level,
        message: fmt::Arguments<'_>,
        fields: &[(Key<'_>, Value<'_>)],
    ) {
        let record = Record::builder()
            .level(level)
            .target(module_path!())
            .payload(message)
            .key_values(fields)
            .build();
        // A record of plain texts and numbers can always be formatted.
        if let Ok(line) = self.0.line(&record) {
            self.0.sink.push_reserved(line);
        }
    }
}

impl Shared {
    /// Returns the time since the appender was created.
    fn now(&self) -> Timestamp {
        Timestamp::default().after(self.start.elapsed().into())
    }

    /// Formats a record as a line.
    fn line(&self, record: &Record<'_>) -> Result<Vec<u8>, Error> {
        let mut line = self.layout.format(record, &self.fields)?;
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
        let dropped = self.sink.backlog().dropped();
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
        let mut state = self.0.state.lock().unwrap_or_else(PoisonError::into_inner);
        let decision = state.limiter.admit(self.0.now(), key);
        self.0.report_dropped(&mut state)?;
        for summary in &decision.summaries {
            self.0.push_summary(summary)?;
        }
        if decision.write {
            self.0.sink.push(self.0.line(record)?);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let mut state = self.0.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.0.report_dropped(&mut state)?;
        for summary in state.limiter.drain() {
            self.0.push_summary(&summary)?;
        }
        drop(state);
        // An error would be written to the standard error, which may be a pipe that nobody reads either.
        self.0.sink.flush();
        Ok(())
    }
}
