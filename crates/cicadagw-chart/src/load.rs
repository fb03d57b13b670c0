//! Loading and validation of charts.

use cicadagw_finding::Findings;
use cicadagw_jsonc::{Object, Reader};

use crate::chart::Rule;
use crate::{Chart, Name, check};

/// A state as defined in a file, before the chart is validated.
pub(crate) struct Draft<S, E, G, A> {
    pub(crate) state: S,
    pub(crate) rules: Vec<Rule<S, E, G, A>>,
    pub(crate) ignored: Vec<E>,
}

impl<S: Name, E: Name, G: Name, A: Name> Chart<S, E, G, A> {
    /// Loads a chart from `text`; `source` names the origin of the text in findings.
    ///
    /// # Errors
    ///
    /// Fails with all findings: syntax errors, unknown names, undefined or unreachable states, events
    /// that a state neither handles nor ignores, events that it both handles and ignores, and rules
    /// that never apply.
    pub fn load(source: &str, text: &str) -> Result<Self, Findings> {
        cicadagw_jsonc::read(source, text, |document| {
            let root = document.object()?;
            let initial = root.required("initial").and_then(|value| name(&value));
            let states = root.required("states");
            root.finish();
            let states = states?;
            let drafts: Vec<Draft<S, E, G, A>> = states
                .object()?
                .entries()
                .filter_map(|(text, value)| draft(text, &value))
                .collect();
            let initial = initial?;
            check::states(&states, initial, &drafts);
            let rules = drafts.into_iter().flat_map(|draft| draft.rules).collect();
            Some(Self { initial, rules })
        })
    }
}

/// Reads one state.
fn draft<S: Name, E: Name, G: Name, A: Name>(
    text: &str,
    value: &Reader<'_, '_>,
) -> Option<Draft<S, E, G, A>> {
    let Some(state) = S::from_name(text) else {
        value.report_with_help(format!("unknown state `{text}`"), known::<S>());
        return None;
    };
    let object = value.object()?;
    let mut rules = Vec::new();
    if let Some(events) = object.get("on").and_then(|on| on.object()) {
        for (event, list) in events.entries() {
            let Some(event) = E::from_name(event) else {
                list.report_with_help(format!("unknown event `{event}`"), known::<E>());
                continue;
            };
            rules.extend(
                list.array(|entry| rule(state, event, entry))
                    .unwrap_or_default(),
            );
        }
    }
    let ignored = object
        .get("ignore")
        .and_then(|list| list.array(name))
        .unwrap_or_default();
    object.finish();
    let draft = Draft {
        state,
        rules,
        ignored,
    };
    check::events(value, &draft);
    Some(draft)
}

/// Reads one rule.
fn rule<S: Name, E: Name, G: Name, A: Name>(
    from: S,
    event: E,
    value: &Reader<'_, '_>,
) -> Option<Rule<S, E, G, A>> {
    let object = value.object()?;
    let guard = optional(&object, "if");
    let actions = object
        .get("do")
        .and_then(|list| list.array(name))
        .unwrap_or_default();
    let to = optional(&object, "to").unwrap_or(from);
    object.finish();
    Some(Rule {
        from,
        event,
        guard,
        actions,
        to,
    })
}

/// Reads the optional name under `key`.
fn optional<N: Name>(object: &Object<'_, '_>, key: &'static str) -> Option<N> {
    object.get(key).and_then(|value| name(&value))
}

/// Reads a name and returns the enum member that it denotes.
fn name<N: Name>(value: &Reader<'_, '_>) -> Option<N> {
    let text = value.string()?;
    let found = N::from_name(text);
    if found.is_none() {
        value.report_with_help(format!("unknown name `{text}`"), known::<N>());
    }
    found
}

/// Returns a help text that lists the names of all members of `N`.
fn known<N: Name>() -> String {
    let names: Vec<_> = N::ALL.iter().map(|name| name.as_str()).collect();
    format!("known names: {}", names.join(", "))
}
