//! The hand-over of lines to the thread that writes them, which never makes the caller wait.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use cicadagw_ring::{Receiver, Sender, channel};

/// The maximum number of lines and barriers that wait for the writer.
const ENTRIES_MAX: usize = 1_024;

/// How many of these entries are kept for the reasons of an end, and for barriers.
const ENTRIES_RESERVED: usize = 32;

/// The maximum size of the lines that wait for the writer, in bytes; one longer line is accepted while
/// no other waits.
const BACKLOG_BYTES_MAX: usize = 256 << 10;

/// How long [`Sink::flush`] waits for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What the writer takes from the ring.
enum Entry {
    /// A line to write.
    Line(Vec<u8>),
    /// The sender waits until all lines before this entry are written.
    Barrier(SyncSender<()>),
}

/// The lines that wait for the writer, and those that were dropped.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    bytes: AtomicUsize,
    dropped: AtomicU64,
}

impl Backlog {
    /// Returns the number of lines that were dropped, because too many waited or the output failed.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether a line of `length` bytes may wait, and counts it as waiting.
    fn reserve(&self, length: usize) -> bool {
        let reserved = |bytes: usize| {
            let sum = bytes + length;
            (bytes == 0 || sum <= BACKLOG_BYTES_MAX).then_some(sum)
        };
        self.bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserved)
            .is_ok()
    }

    /// Counts a line of `length` bytes as waiting, whether or not there is room for it.
    fn force(&self, length: usize) {
        self.bytes.fetch_add(length, Ordering::Relaxed);
    }

    fn release(&self, length: usize) {
        self.bytes.fetch_sub(length, Ordering::Relaxed);
    }
}

/// Passes lines to a thread of its own, which is the only one that waits for the output.
pub(crate) struct Sink {
    backlog: Arc<Backlog>,
    ring: Sender<Entry>,
}

impl Sink {
    /// Starts the thread that writes lines to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub(crate) fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (ring, entries) = channel("log", ENTRIES_MAX);
        let backlog = Arc::<Backlog>::default();
        let runtime = tokio::runtime::Builder::new_current_thread().build()?;
        let writer_backlog = backlog.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || runtime.block_on(write(out, &entries, &writer_backlog)))?;
        Ok(Self { backlog, ring })
    }

    /// Returns the counts of the lines that wait and of those that were dropped.
    pub(crate) const fn backlog(&self) -> &Arc<Backlog> {
        &self.backlog
    }

    /// Queues a line, or drops and counts it if too many wait.
    pub(crate) fn push(&self, line: Vec<u8>) {
        if !self.try_push(line) {
            self.backlog.count_dropped();
        }
    }

    /// Queues a line; returns whether there was room for it.
    pub(crate) fn try_push(&self, line: Vec<u8>) -> bool {
        let has_entry = self.ring.gauge().fill() < (ENTRIES_MAX - ENTRIES_RESERVED) as u64;
        has_entry && self.backlog.reserve(line.len()) && self.enqueue(line)
    }

    /// Queues a line in the entries that are reserved for such lines, and beyond the maximum size.
    pub(crate) fn push_reserved(&self, line: Vec<u8>) {
        self.backlog.force(line.len());
        if !self.enqueue(line) {
            self.backlog.count_dropped();
        }
    }

    /// Queues a line whose size is counted already; returns whether the ring had room.
    fn enqueue(&self, line: Vec<u8>) -> bool {
        let length = line.len();
        let is_queued = self.ring.try_send(Entry::Line(line)).is_ok();
        if !is_queued {
            self.backlog.release(length);
        }
        is_queued
    }

    /// Waits until the lines queued before are written, but at most [`FLUSH_TIMEOUT`], and not at all
    /// if the ring is full.
    pub(crate) fn flush(&self) {
        let (done, flushed) = sync_channel(1);
        if self.ring.try_send(Entry::Barrier(done)).is_ok() {
            flushed.recv_timeout(FLUSH_TIMEOUT).ok();
        }
    }
}

/// Writes the lines in order until the ring is closed. A line that cannot be written is dropped.
async fn write(mut out: impl Write, entries: &Receiver<Entry>, backlog: &Backlog) {
    while let Some(entry) = entries.recv().await {
        match entry {
            Entry::Line(line) => {
                if out.write_all(&line).and_then(|()| out.flush()).is_err() {
                    backlog.count_dropped();
                }
                backlog.release(line.len());
            }
            // Whoever waits may have given up.
            Entry::Barrier(done) => drop(done.try_send(())),
        }
    }
}
