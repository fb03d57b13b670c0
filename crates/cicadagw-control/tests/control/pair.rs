//! A parent and a child, with the test delivering their messages.

use cicadagw_unit::time::Span;
use cicadagw_wire::link::{Command, LinkId};

use crate::fixture::{seeded, settings};
use crate::session::Session;
use crate::store::Store;

/// Number of the pair's first link; lower numbers are for other children.
const LINKS_FROM: u64 = 101;

/// A root and a node that has it as a seed.
pub(crate) struct Pair {
    pub(crate) parent: Session,
    pub(crate) child: Session,
    /// The link in the parent's numbering, where incoming links are odd.
    link: u64,
    is_open: bool,
    /// Numbers of the commands delivered so far: those of the parent, and those of the child.
    delivered: (usize, usize),
}

impl Pair {
    /// Creates a root of the fleet at `version`, and a node without access to the platform.
    pub(crate) fn new(version: u64) -> Self {
        let mut parent = Session::new(&settings(1), Store::holding(version));
        parent.run(Span::seconds(2));
        let mut child = Session::new(&seeded(2, &[1]), Store::default());
        child.store.unavailable = true;
        Self {
            parent,
            child,
            link: LINKS_FROM,
            is_open: false,
            delivered: (0, 0),
        }
    }

    /// Advances the time, and delivers all messages.
    pub(crate) fn run(&mut self, span: Span) {
        for _ in 0..span.get() / 100 {
            self.parent.run(Span::new(100));
            self.child.run(Span::new(100));
            while self.deliver() {}
        }
    }

    /// Closes the link; undelivered messages are lost.
    pub(crate) fn close_link(&mut self) {
        self.delivered.0 = self.parent.commands().count();
        self.delivered.1 = self.child.commands().count();
        if std::mem::take(&mut self.is_open) {
            self.parent.close_child_link(self.link);
            self.child.close_parent_link();
        }
    }

    /// Delivers the messages sent since the last call; returns whether there were any.
    fn deliver(&mut self) -> bool {
        let down: Vec<_> = self
            .parent
            .commands()
            .skip(self.delivered.0)
            .cloned()
            .collect();
        self.delivered.0 += down.len();
        let up: Vec<_> = self
            .child
            .commands()
            .skip(self.delivered.1)
            .cloned()
            .collect();
        self.delivered.1 += up.len();
        let has_any = !down.is_empty() || !up.is_empty();
        for command in down {
            self.deliver_down(command);
        }
        for command in up {
            self.deliver_up(command);
        }
        has_any
    }

    fn deliver_down(&mut self, command: Command) {
        let link = LinkId(self.link);
        match command {
            Command::Accept { session } if session == link => {
                self.is_open = true;
                self.child.deliver_opened();
            }
            Command::Refuse { session, refusal } if session == link => {
                self.child.deliver_refused(refusal);
            }
            Command::Down { sessions, message } if self.is_open && sessions.contains(&link) => {
                self.child.deliver_down((*message).clone());
            }
            Command::Close { session } if session == link && self.is_open => {
                self.is_open = false;
                self.child.close_parent_link();
            }
            _ => {}
        }
    }

    fn deliver_up(&mut self, command: Command) {
        match command {
            Command::Dial { hello, .. } => {
                self.link += 2;
                self.parent.deliver_join_request(self.link, *hello);
            }
            Command::Up { message, .. } if self.is_open => {
                self.parent.deliver_up(self.link, *message);
            }
            Command::Close { .. } if std::mem::take(&mut self.is_open) => {
                self.parent.close_child_link(self.link);
            }
            _ => {}
        }
    }
}
