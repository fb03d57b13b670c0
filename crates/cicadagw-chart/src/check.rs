//! Checks of a chart as a whole.

use cicadagw_jsonc::Reader;

use crate::Name;
use crate::load::Draft;

/// Reports events that a state neither handles nor ignores, or both handles and ignores, and rules
/// that stand behind one without a guard.
pub(crate) fn events<S: Name, E: Name, G: Name, A: Name>(
    place: &Reader<'_, '_>,
    draft: &Draft<S, E, G, A>,
) {
    let state = draft.state.as_str();
    for event in E::ALL {
        let handled = draft.rules.iter().any(|rule| rule.event == *event);
        let name = event.as_str();
        match (handled, draft.ignored.contains(event)) {
            (false, false) => {
                place.report(format!("state `{state}` does not handle event `{name}`"));
            }
            (true, true) => place.report(format!(
                "state `{state}` handles and ignores event `{name}`"
            )),
            _ => {}
        }
        let mut rules = draft.rules.iter().filter(|rule| rule.event == *event);
        if rules.any(|rule| rule.guard.is_none()) && rules.next().is_some() {
            place.report(format!(
                "a rule of state `{state}` for event `{name}` can never be taken"
            ));
        }
    }
}

/// Reports states that are missing or that no rule leads to.
pub(crate) fn states<S: Name, E: Name, G: Name, A: Name>(
    place: &Reader<'_, '_>,
    initial: S,
    drafts: &[Draft<S, E, G, A>],
) {
    let reached = reachable(initial, drafts);
    for state in S::ALL {
        let name = state.as_str();
        if drafts.iter().all(|draft| draft.state != *state) {
            place.report(format!("state `{name}` is missing"));
        } else if !reached.contains(state) {
            place.report(format!("state `{name}` cannot be reached"));
        }
    }
}

/// Returns every state that can be reached from `initial`.
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
