//! Signals to processes.

use std::io;
use std::process::Command;

/// A POSIX signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// `SIGCONT`: resumes the process after [`Signal::Stop`].
    Continue,
    /// `SIGHUP`: asks the process to read its settings again.
    Hangup,
    /// `SIGINT`: asks the process to shut down, as from a terminal.
    Interrupt,
    /// `SIGKILL`: ends the process without a chance to clean up.
    Kill,
    /// `SIGSTOP`: suspends the process, which keeps its sockets open.
    Stop,
    /// `SIGTERM`: asks the process to shut down.
    Terminate,
}

impl Signal {
    /// Returns the name that `kill -s` takes.
    const fn name(self) -> &'static str {
        match self {
            Self::Continue => "CONT",
            Self::Hangup => "HUP",
            Self::Interrupt => "INT",
            Self::Kill => "KILL",
            Self::Stop => "STOP",
            Self::Terminate => "TERM",
        }
    }

    /// Sends the signal to the process `pid` through the shell, whose built-in `kill` is always
    /// available.
    pub(crate) fn send(self, pid: u32) -> io::Result<()> {
        let status = Command::new("sh")
            .args(["-c", "kill -s \"$0\" \"$1\"", self.name()])
            .arg(pid.to_string())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!(
                "`kill` could not signal process {pid}"
            )))
        }
    }
}
