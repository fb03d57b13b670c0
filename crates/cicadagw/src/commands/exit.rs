//! The exit status of the program.

use super::Error;

/// The exit status of the program, by the reason why it ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    /// The command is done, or the node was asked to stop.
    Done,
    /// A duty of the node failed, or the program is faulty.
    Failed,
    /// The settings cannot be read, or have findings.
    Settings,
    /// An address cannot be bound.
    Address,
    /// The host lacks a resource, such as threads.
    Resource,
}

impl Exit {
    /// Returns the exit code of the process; an invalid command line has 2.
    pub(crate) const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Settings => 3,
            Self::Address => 4,
            Self::Resource => 5,
        }
    }
}

impl From<&Error> for Exit {
    fn from(error: &Error) -> Self {
        use cicadagw_node::Error as Node;
        match error {
            Error::Findings(_) | Error::Read(..) => Self::Settings,
            Error::Node(Node::Sockets(_)) => Self::Address,
            Error::Node(Node::Thread(..)) | Error::Runtime(_) => Self::Resource,
            Error::Node(Node::Charts(_) | Node::Duty(..)) | Error::Panicked => Self::Failed,
        }
    }
}
