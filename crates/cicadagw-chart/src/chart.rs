//! Charts and their interpretation.

use crate::Name;

/// A checked chart over states `S`, events `E`, guards `G` and actions `A`.
#[derive(Clone, Debug)]
pub struct Chart<S, E, G, A> {
    pub(crate) initial: S,
    pub(crate) rules: Vec<Rule<S, E, G, A>>,
}

/// One way out of a state.
#[derive(Clone, Debug)]
pub(crate) struct Rule<S, E, G, A> {
    pub(crate) from: S,
    pub(crate) event: E,
    pub(crate) guard: Option<G>,
    pub(crate) actions: Vec<A>,
    pub(crate) to: S,
}

/// What one event led to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transition<'c, S, A> {
    /// The state after the event.
    pub to: S,
    /// What is to be done, in this order.
    pub actions: &'c [A],
}

impl<S: Name, E: Name, G: Name, A: Name> Chart<S, E, G, A> {
    /// Returns the state in which everything begins.
    pub const fn initial(&self) -> S {
        self.initial
    }

    /// Takes the first rule for `event` in `from` whose guard holds.
    ///
    /// An event that the chart ignores, or of which no guard holds, leaves the state as it is.
    pub fn step(
        &self,
        from: S,
        event: E,
        mut holds: impl FnMut(G) -> bool,
    ) -> Transition<'_, S, A> {
        self.rules
            .iter()
            .filter(|rule| rule.from == from && rule.event == event)
            .find(|rule| rule.guard.is_none_or(&mut holds))
            .map_or(
                Transition {
                    to: from,
                    actions: &[],
                },
                |rule| Transition {
                    to: rule.to,
                    actions: &rule.actions,
                },
            )
    }
}
