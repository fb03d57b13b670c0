//! Child processes and their lifecycle.

use std::fs::File;
use std::io::{self, BufRead, BufReader, PipeReader, Write, pipe};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, sync_channel};
use std::thread;

use cicadagw_unit::time::Span;

use super::Signal;
use super::listening::PREFIX;

/// A child process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    pid: u32,
    log_path: PathBuf,
    /// Receives the exit status from the thread that waits for the process.
    exit: Receiver<ExitStatus>,
    /// The exit status, once it was received.
    status: Option<ExitStatus>,
    /// The other end of its output, if that is a pipe which is not read; it stays open while the
    /// process runs.
    unread: Option<PipeReader>,
}

impl Process {
    /// Starts `command`; its output is appended to the file `{name}.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened or the process cannot be started.
    pub fn start(name: &str, command: &mut Command, dir: &Path) -> io::Result<Self> {
        let path = dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(&path)?;
        command.stdout(log.try_clone()?).stderr(log);
        let child = command.stdin(Stdio::null()).spawn()?;
        Self::reap(name, child, path)
    }

    /// Starts `command`, whose output is a pipe that is full and never read. The log stays empty.
    ///
    /// # Errors
    ///
    /// Fails if the pipe cannot be created or the process cannot be started.
    pub fn start_unread(name: &str, command: &mut Command, dir: &Path) -> io::Result<Self> {
        let (reader, mut writer) = pipe()?;
        command.stdout(writer.try_clone()?);
        command.stderr(writer.try_clone()?);
        // Waits in a write while the pipe is full, and ends when the reader is dropped.
        thread::Builder::new()
            .name(format!("fill-{name}"))
            .spawn(move || while writer.write_all(&[b'\n'; 64]).is_ok() {})?;
        let child = command.stdin(Stdio::null()).spawn()?;
        // The command would keep the write end open.
        command.stdout(Stdio::null()).stderr(Stdio::null());
        let mut process = Self::reap(name, child, dir.join(format!("{name}.log")))?;
        process.unread = Some(reader);
        Ok(process)
    }

    /// Starts the test server `command` and waits until it prints its listen address; standard
    /// error is appended to the file `{name}.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started, or its first line is not that of [`print_listening`]; the
    /// error contains the last lines of the log.
    ///
    /// [`print_listening`]: super::print_listening
    pub fn start_server(
        name: &str,
        command: &mut Command,
        dir: &Path,
    ) -> io::Result<(Self, SocketAddr)> {
        let path = dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(&path)?;
        command.stdout(Stdio::piped()).stderr(log);
        let mut child = command.stdin(Stdio::null()).spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let process = Self::reap(name, child, path)?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line.trim_end().strip_prefix(PREFIX);
        let address = address.and_then(|text| text.parse().ok());
        let missing = || {
            io::Error::other(format!(
                "{name} did not print its listen address: {}",
                process.log_tail()
            ))
        };
        let address = address.ok_or_else(missing)?;
        Ok((process, address))
    }

    /// Starts a thread that reaps `child` and passes its exit status on.
    fn reap(name: &str, mut child: Child, log_path: PathBuf) -> io::Result<Self> {
        let pid = child.id();
        let (sender, exit) = sync_channel(1);
        thread::Builder::new()
            .name(format!("wait-{name}"))
            .spawn(move || {
                if let Ok(status) = child.wait() {
                    // The receiver is gone when the `Process` was dropped.
                    let _ = sender.send(status);
                }
            })?;
        Ok(Self {
            name: name.to_owned(),
            pid,
            log_path,
            exit,
            status: None,
            unread: None,
        })
    }

    /// Returns the name that the process was started under.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub const fn pid(&self) -> u32 {
        self.pid
    }

    /// Returns the path of the log.
    pub fn log_path(&self) -> &Path {
        &self.log_path
    }

    /// Returns the last 10 lines of the log; empty when it cannot be read.
    pub fn log_tail(&self) -> String {
        const LINES: usize = 10;
        let text = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LINES)..].join("\n")
    }

    /// Sends `signal` to the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited; the error contains the end of its log.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if let Some(status) = self.wait(Span::default()) {
            let error = format!(
                "process {} has already exited: {status}\n{}",
                self.name,
                self.log_tail()
            );
            return Err(io::Error::other(error));
        }
        signal.send(self.pid)
    }

    /// Waits at most `span` for the exit; returns `None` when the process is still running.
    pub fn wait(&mut self, span: Span) -> Option<ExitStatus> {
        if self.status.is_none() {
            self.status = self.exit.recv_timeout(span.into()).ok();
        }
        self.status
    }

    /// Sends `SIGTERM` and waits at most `span` for the exit.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exit in time.
    pub fn terminate(&mut self, span: Span) -> io::Result<ExitStatus> {
        if self.wait(Span::default()).is_none() {
            Signal::Terminate.send(self.pid)?;
        }
        let status = self.wait(span);
        status.ok_or_else(|| {
            let reason = format!(
                "process {} did not exit within {span} after SIGTERM",
                self.name
            );
            io::Error::new(io::ErrorKind::TimedOut, reason)
        })
    }

    /// Sends `SIGKILL` and waits for the exit.
    ///
    /// # Errors
    ///
    /// Fails if the process had exited before.
    pub fn kill(&mut self) -> io::Result<()> {
        self.signal(Signal::Kill)?;
        self.status = self.exit.recv().ok();
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that the process has exited already.
        let _ = self.kill();
    }
}
