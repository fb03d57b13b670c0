//! Validation of a chart.

use cicadagw_jsonc::Reader;

use crate::Name;
use crate::load::Draft;

/// Reports events that a state neither handles nor ignores, or both handles and ignores, and rules
/// that are shadowed by an earlier rule without a guard.
pub(crate) fn events<S: Name, E: Name, G: Name, A: Name>(
    value: &Reader<'_, '_>,
    draft: &Draft<S, E, G, A>,
) {
    let state = draft.state.as_str();
    for event in E::ALL {
        let handled = draft.rules.iter().any(|rule| rule.event == *event);
        let name = event.as_str();
        match (handled, draft.ignored.contains(event)) {
            (false, false) => {
                value.report(format!("state `{state}` does not handle event `{name}`"));
            }
            (true, true) => value.report(format!(
                "state `{state}` handles and ignores event `{name}`"
            )),
            _ => {}
        }
        let mut rules = draft.rules.iter().filter(|rule| rule.event == *event);
        if rules.any(|rule| rule.guard.is_none()) && rules.next().is_some() {
            value.report(format!(
                "a rule of state `{state}` for event `{name}` never applies"
            ));
        }
    }
}

/// Reports states that the chart does not define, or that are unreachable from `initial`.
pub(crate) fn states<S: Name, E: Name, G: Name, A: Name>(
    value: &Reader<'_, '_>,
    initial: S,
    drafts: &[Draft<S, E, G, A>],
) {
    let reachable = reachable(initial, drafts);
    for state in S::ALL {
        let name = state.as_str();
        if drafts.iter().all(|draft| draft.state != *state) {
            value.report(format!("state `{name}` is not defined"));
        } else if !reachable.contains(state) {
            value.report(format!("state `{name}` is unreachable"));
        }
    }
}

/// Returns all states that are reachable from `initial`, by breadth-first search.
fn reachable<S: Name, E: Name, G: Name, A: Name>(
    initial: S,
    drafts: &[Draft<S, E, G, A>],
) -> Vec<S> {
    let mut reached = vec![initial];
    let mut index = 0;
    while let Some(state) = reached.get(index).copied() {
        let rules = drafts.iter().flat_map(|draft| &draft.rules);
        for rule in rules.filter(|rule| rule.from == state) {
            if !reached.contains(&rule.to) {
                reached.push(rule.to);
            }
        }
        index += 1;
    }
    reached
}
