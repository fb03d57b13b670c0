//! Census of a failure domain, by which its root detects the nodes that are gone: every node that
//! is alive responds.

use std::collections::BTreeSet;

use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};

/// How long the reported nodes may be fewer than the recorded ones before a census starts.
const MISSING_GRACE: Span = Span::seconds(5);

/// How long nodes have to respond to a census.
const RESPONSE_TIMEOUT: Span = Span::seconds(3);

/// The result of a step of the census.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Nothing to do.
    Nothing,
    /// Start a census: request a response from every node of the failure domain.
    Start,
    /// The census is over: these nodes responded, and all others are gone.
    Present(BTreeSet<id::Node>),
}

/// The census that a root takes of its failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Census {
    /// Since when fewer nodes are reported than recorded.
    missing_since: Option<Timestamp>,
    /// Start of the current census, and the nodes that have responded to it.
    running: Option<(Timestamp, BTreeSet<id::Node>)>,
}

impl Census {
    /// Advances the census. `recorded` is the number of nodes with an endpoint record whose state
    /// is not gone, and `reported` the number of nodes with a backend server according to the
    /// aggregated status reports. A census starts when fewer are reported than recorded for
    /// [`MISSING_GRACE`].
    pub(crate) fn tick(&mut self, now: Timestamp, recorded: usize, reported: usize) -> Outcome {
        if let Some((at, present)) = &mut self.running {
            if now.since(*at) < RESPONSE_TIMEOUT {
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
        if now.since(since) < MISSING_GRACE {
            return Outcome::Nothing;
        }
        self.running = Some((now, BTreeSet::new()));
        Outcome::Start
    }

    /// Adds nodes that responded to the current census.
    pub(crate) fn add_present(&mut self, nodes: impl IntoIterator<Item = id::Node>) {
        if let Some((_, present)) = &mut self.running {
            present.extend(nodes);
        }
    }

    /// Cancels any census; used while the node is not a root.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
