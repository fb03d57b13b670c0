//! Processes and their life.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, sync_channel};
use std::thread;

use cicadagw_unit::time::Span;

use super::Signal;
use super::listening::PREFIX;

/// A process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    pid: u32,
    log: PathBuf,
    ending: Receiver<ExitStatus>,
    ended: Option<ExitStatus>,
}

impl Process {
    /// Starts `command`; what it writes goes to the file `{name}.log` in `folder`.
    ///
    /// # Errors
    ///
    /// When it cannot be started.
    pub fn start(name: &str, command: &mut Command, folder: &Path) -> io::Result<Self> {
        let path = folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(&path)?;
        command.stdout(log.try_clone()?).stderr(log);
        let child = command.stdin(Stdio::null()).spawn()?;
        Self::follow(name, child, path)
    }

    /// Starts the stand-in `command`, and waits until it tells where it listens.
    ///
    /// # Errors
    ///
    /// When it cannot be started, or ends before it listens.
    pub fn start_server(
        name: &str,
        command: &mut Command,
        folder: &Path,
    ) -> io::Result<(Self, SocketAddr)> {
        let path = folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(&path)?;
        command.stdout(Stdio::piped()).stderr(log);
        let mut child = command.stdin(Stdio::null()).spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let process = Self::follow(name, child, path)?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line.trim_end().strip_prefix(PREFIX);
        let address = address.and_then(|text| text.parse().ok());
        let missing =
            || io::Error::other(format!("{name} does not listen: {}", process.log_tail()));
        let address = address.ok_or_else(missing)?;
        Ok((process, address))
    }

    /// Waits for the end of `child` on a thread.
    fn follow(name: &str, mut child: Child, log: PathBuf) -> io::Result<Self> {
        let pid = child.id();
        let (sender, ending) = sync_channel(1);
        thread::Builder::new()
            .name(format!("wait-{name}"))
            .spawn(move || {
                if let Ok(status) = child.wait() {
                    // Nobody is there to hear it when the process was dropped.
                    let _ = sender.send(status);
                }
            })?;
        Ok(Self {
            name: name.to_owned(),
            pid,
            log,
            ending,
            ended: None,
        })
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub const fn pid(&self) -> u32 {
        self.pid
    }

    /// Returns the file that holds what the process wrote.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// Returns the last lines that the process wrote.
    pub fn log_tail(&self) -> String {
        const LINES: usize = 10;
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LINES)..].join("\n")
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.wait(Span::default()).is_some() {
            return Err(io::Error::other(format!("{} has ended", self.name)));
        }
        signal.send(self.pid)
    }

    /// Waits at most `span` for the end; `None` when the process still runs.
    pub fn wait(&mut self, span: Span) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.ending.recv_timeout(span.into()).ok();
        }
        self.ended
    }

    /// Asks the process to end, and waits at most `span` for it.
    ///
    /// # Errors
    ///
    /// When it does not end in time.
    pub fn terminate(&mut self, span: Span) -> io::Result<ExitStatus> {
        if self.wait(Span::default()).is_none() {
            Signal::Terminate.send(self.pid)?;
        }
        let ended = self.wait(span);
        ended.ok_or_else(|| {
            let reason = format!("{} does not end within {span}", self.name);
            io::Error::new(io::ErrorKind::TimedOut, reason)
        })
    }

    /// Kills the process, and waits for its end.
    ///
    /// # Errors
    ///
    /// When it has ended before.
    pub fn kill(&mut self) -> io::Result<()> {
        self.signal(Signal::Kill)?;
        self.ended = self.ending.recv().ok();
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended is as good.
        let _ = self.kill();
    }
}
