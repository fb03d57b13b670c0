//! Signals to processes.

use std::io;
use std::process::Command;

/// A signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Goes on after [`Signal::Stop`].
    Continue,
    /// Ends at once.
    Kill,
    /// Freezes.
    Stop,
    /// Asks to end.
    Terminate,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Self::Continue => "CONT",
            Self::Kill => "KILL",
            Self::Stop => "STOP",
            Self::Terminate => "TERM",
        }
    }

    /// Sends the signal to the process `pid`, through the shell, which knows `kill` everywhere.
    pub(crate) fn send(self, pid: u32) -> io::Result<()> {
        let status = Command::new("sh")
            .args(["-c", "kill -s \"$0\" \"$1\"", self.name()])
            .arg(pid.to_string())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("no signal to process {pid}")))
        }
    }
}
