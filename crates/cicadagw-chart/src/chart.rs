//! State charts and their interpretation.

use crate::Name;

/// A validated state chart over states `S`, events `E`, guards `G` and actions `A`.
#[derive(Clone, Debug)]
pub struct Chart<S, E, G, A> {
    pub(crate) initial: S,
    pub(crate) rules: Vec<Rule<S, E, G, A>>,
}

/// A rule of a chart: the transition that an event triggers in a state if the guard holds.
#[derive(Clone, Debug)]
pub(crate) struct Rule<S, E, G, A> {
    pub(crate) from: S,
    pub(crate) event: E,
    pub(crate) guard: Option<G>,
    pub(crate) actions: Vec<A>,
    pub(crate) to: S,
}

/// The result of handling one event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transition<'c, S, A> {
    /// The state after the event.
    pub to: S,
    /// The actions to perform, in order.
    pub actions: &'c [A],
}

impl<S: Name, E: Name, G: Name, A: Name> Chart<S, E, G, A> {
    /// Returns the initial state.
    pub const fn initial(&self) -> S {
        self.initial
    }

    /// Returns the transition of the first rule for `event` in state `from` that has no guard, or
    /// whose guard `holds`.
    ///
    /// If the chart ignores the event, or no guard holds, the state stays the same and there are no
    /// actions.
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
