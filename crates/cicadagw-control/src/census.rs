//! Censuses, by which a root finds out which nodes of its failure domain are gone.

use std::collections::BTreeSet;

use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};

/// How long fewer nodes may report than there are records of, before a census is taken.
const PATIENCE: Span = Span::seconds(5);

/// How long the nodes have to answer.
const ANSWER_TIME: Span = Span::seconds(3);

/// What a census has come to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Nothing is to be done.
    Nothing,
    /// A census is to be taken.
    Call,
    /// These nodes answered; all others are gone.
    Present(BTreeSet<id::Node>),
}

/// The census of a root.
#[derive(Clone, Debug, Default)]
pub(crate) struct Census {
    missing_since: Option<Timestamp>,
    called: Option<(Timestamp, BTreeSet<id::Node>)>,
}

impl Census {
    /// Looks at whether all of the `recorded` serving nodes are among the `reported` ones.
    pub(crate) fn tick(&mut self, now: Timestamp, recorded: usize, reported: usize) -> Outcome {
        if let Some((at, present)) = &mut self.called {
            if now.since(*at) < ANSWER_TIME {
                return Outcome::Nothing;
            }
            let present = std::mem::take(present);
            *self = Self::default();
            return Outcome::Present(present);
        }
        if recorded <= reported {
            self.missing_since = None;
            return Outcome::Nothing;
        }
        let since = *self.missing_since.get_or_insert(now);
        if now.since(since) < PATIENCE {
            return Outcome::Nothing;
        }
        self.called = Some((now, BTreeSet::new()));
        Outcome::Call
    }

    /// Takes answers.
    pub(crate) fn answer(&mut self, nodes: impl IntoIterator<Item = id::Node>) {
        if let Some((_, present)) = &mut self.called {
            present.extend(nodes);
        }
    }

    /// Forgets everything; for a node that is no root.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
