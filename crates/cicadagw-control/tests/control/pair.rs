//! A parent and a child whose messages are carried by hand.

use cicadagw_unit::time::Span;
use cicadagw_wire::link::{Command, Session as Link};

use crate::fixture::{seeded, settings};
use crate::session::Session;
use crate::store::Store;

/// The links of the pair are numbered from here; the lower ones are for other children.
const LINKS_FROM: u64 = 101;

/// A root and a node that knows it.
pub(crate) struct Pair {
    pub(crate) parent: Session,
    pub(crate) child: Session,
    /// The link as the parent knows it; those of incoming links are odd.
    link: u64,
    is_open: bool,
    carried: (usize, usize),
}

impl Pair {
    /// A root of everything that holds `version`, and a node without platform.
    pub(crate) fn new(version: u64) -> Self {
        let mut parent = Session::new(&settings(1), Store::holding(version));
        parent.run(Span::seconds(2));
        let mut child = Session::new(&seeded(2, &[1]), Store::default());
        child.store.away = true;
        Self {
            parent,
            child,
            link: LINKS_FROM,
            is_open: false,
            carried: (0, 0),
        }
    }

    /// Lets time pass, and carries what is sent.
    pub(crate) fn run(&mut self, span: Span) {
        for _ in 0..span.get() / 100 {
            self.parent.run(Span::new(100));
            self.child.run(Span::new(100));
            while self.carry() {}
        }
    }

    /// Cuts the link; what is under way is lost.
    pub(crate) fn cut(&mut self) {
        self.carried.0 = self.parent.commands().count();
        self.carried.1 = self.child.commands().count();
        if std::mem::take(&mut self.is_open) {
            self.parent.close(self.link);
            self.child.closed();
        }
    }

    /// Carries what was sent since the last time; tells whether there was anything.
    fn carry(&mut self) -> bool {
        let down: Vec<_> = self
            .parent
            .commands()
            .skip(self.carried.0)
            .cloned()
            .collect();
        self.carried.0 += down.len();
        let up: Vec<_> = self
            .child
            .commands()
            .skip(self.carried.1)
            .cloned()
            .collect();
        self.carried.1 += up.len();
        let any = !down.is_empty() || !up.is_empty();
        for command in down {
            self.carry_down(command);
        }
        for command in up {
            self.carry_up(command);
        }
        any
    }

    fn carry_down(&mut self, command: Command) {
        let link = Link(self.link);
        match command {
            Command::Accept { session } if session == link => {
                self.is_open = true;
                self.child.opened();
            }
            Command::Refuse { session, refusal } if session == link => self.child.refused(refusal),
            Command::Down { sessions, message } if self.is_open && sessions.contains(&link) => {
                self.child.down((*message).clone());
            }
            Command::Close { session } if session == link && self.is_open => {
                self.is_open = false;
                self.child.closed();
            }
            _ => {}
        }
    }

    fn carry_up(&mut self, command: Command) {
        match command {
            Command::Dial { hello, .. } => {
                self.link += 2;
                self.parent.joining(self.link, *hello);
            }
            Command::Up { message, .. } if self.is_open => self.parent.up(self.link, *message),
            Command::Close { .. } if std::mem::take(&mut self.is_open) => {
                self.parent.close(self.link);
            }
            _ => {}
        }
    }
}
