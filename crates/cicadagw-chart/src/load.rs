//! Reading of charts.

use cicadagw_finding::Findings;
use cicadagw_jsonc::{Object, Reader};

use crate::chart::Rule;
use crate::{Chart, Name, check};

/// A state as it stands in a file.
pub(crate) struct Draft<S, E, G, A> {
    pub(crate) state: S,
    pub(crate) rules: Vec<Rule<S, E, G, A>>,
    pub(crate) ignored: Vec<E>,
}

impl<S: Name, E: Name, G: Name, A: Name> Chart<S, E, G, A> {
    /// Reads a chart from `text`, which came from `source`.
    ///
    /// # Errors
    ///
    /// All findings: unknown names, states that are missing or cannot be reached, and events that a
    /// state neither handles nor ignores.
    pub fn load(source: &str, text: &str) -> Result<Self, Findings> {
        cicadagw_jsonc::read(source, text, |document| {
            let table = document.object()?;
            let initial = table.required("initial").and_then(|value| name(&value));
            let states = table.required("states");
            table.finish();
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
        value.report_with_help(format!("`{text}` is no state"), known::<S>());
        return None;
    };
    let table = value.object()?;
    let mut rules = Vec::new();
    if let Some(events) = table.get("on").and_then(|on| on.object()) {
        for (event, list) in events.entries() {
            let Some(event) = E::from_name(event) else {
                list.report_with_help(format!("`{event}` is no event"), known::<E>());
                continue;
            };
            rules.extend(
                list.array(|entry| rule(state, event, entry))
                    .unwrap_or_default(),
            );
        }
    }
    let ignored = table
        .get("ignore")
        .and_then(|list| list.array(name))
        .unwrap_or_default();
    table.finish();
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
    let table = value.object()?;
    let guard = optional(&table, "if");
    let actions = table
        .get("do")
        .and_then(|list| list.array(name))
        .unwrap_or_default();
    let to = optional(&table, "to").unwrap_or(from);
    table.finish();
    Some(Rule {
        from,
        event,
        guard,
        actions,
        to,
    })
}

fn optional<N: Name>(table: &Object<'_, '_>, key: &'static str) -> Option<N> {
    table.get(key).and_then(|value| name(&value))
}

/// Reads one name of a closed set.
fn name<N: Name>(value: &Reader<'_, '_>) -> Option<N> {
    let text = value.string()?;
    let found = N::from_name(text);
    if found.is_none() {
        value.report_with_help(format!("`{text}` is not known"), known::<N>());
    }
    found
}

/// Lists the members of a closed set.
fn known<N: Name>() -> String {
    let names: Vec<_> = N::ALL.iter().map(|name| name.as_str()).collect();
    format!("known here: {}", names.join(", "))
}
