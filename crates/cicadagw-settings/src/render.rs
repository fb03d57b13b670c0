//! Rendering of settings as a commented file.

use std::fmt::{self, Write};
use std::net::SocketAddr;

use crate::key::quoted;
use crate::settings::BYTES_PER_MB;
use crate::{Key, Peering, Section, Settings};

/// One level of indentation.
const INDENT: &str = "  ";

/// Renders `settings` as a commented file, which [`crate::load`] reads back.
///
/// The file contains the admin token in plain text.
pub fn render(settings: &Settings) -> String {
    let mut text = String::new();
    write_file(&mut text, settings).expect("writing to a string does not fail");
    text
}

fn write_file(text: &mut String, settings: &Settings) -> fmt::Result {
    writeln!(text, "{{")?;
    let outer = Key::ALL.into_iter().filter(|key| key.section().is_none());
    for key in outer {
        write_key(text, INDENT, key, value(settings, key))?;
    }
    for section in [Section::Budget, Section::Peering, Section::Timing] {
        writeln!(text, "{INDENT}// {}", section.about())?;
        writeln!(text, "{INDENT}\"{}\": {{", section.name())?;
        let inner = Key::ALL
            .into_iter()
            .filter(|key| key.section() == Some(section));
        for key in inner {
            write_key(text, &INDENT.repeat(2), key, value(settings, key))?;
        }
        writeln!(text, "{INDENT}}},")?;
    }
    writeln!(text, "}}")
}

fn write_key(text: &mut String, indent: &str, key: Key, value: Option<String>) -> fmt::Result {
    writeln!(text, "{indent}// {}", key.about())?;
    let format = key.format();
    match key.default() {
        Some(default) => writeln!(text, "{indent}// Format: {format}. Default: {default}.")?,
        None => writeln!(text, "{indent}// Format: {format}. Required.")?,
    }
    let name = key.name();
    match value {
        Some(value) => writeln!(text, "{indent}\"{name}\": {value},"),
        None => writeln!(text, "{indent}// \"{name}\": \"...\","),
    }
}

/// Returns the value of `key` as JSON, or `None` if it is not set.
fn value(settings: &Settings, key: Key) -> Option<String> {
    let Settings { budget, timing, .. } = settings;
    if key.section() == Some(Section::Peering) {
        return settings
            .peering
            .as_ref()
            .and_then(|peering| peering_value(peering, key));
    }
    Some(match key {
        Key::Node => quoted(&settings.node),
        Key::Region => quoted(&settings.region),
        Key::Domain => quoted(&settings.domain),
        Key::Rack => quoted(&settings.rack),
        Key::Calls => quoted(settings.calls),
        Key::Link => quoted(settings.link),
        Key::Announce => quoted(settings.announce),
        Key::Admin => quoted(settings.admin),
        Key::AdminToken => return settings.admin_token.as_ref().map(quoted),
        Key::Platform => list(&settings.platform),
        Key::Seeds => list(&settings.seeds),
        Key::Log => quoted(settings.log),
        Key::Descriptors => return budget.descriptors.map(|number| number.to_string()),
        Key::Fanout => budget.fanout.to_string(),
        Key::Hops => budget.hops.to_string(),
        Key::Memory => (budget.memory.get() / BYTES_PER_MB).to_string(),
        Key::WholeSyncs => budget.whole_syncs.to_string(),
        Key::Drain => quoted(timing.drain),
        Key::Heartbeat => quoted(timing.heartbeat),
        Key::Lease => quoted(timing.lease),
        Key::Renewal => quoted(timing.renewal),
        Key::Status => quoted(timing.status),
        _ => return None,
    })
}

fn peering_value(peering: &Peering, key: Key) -> Option<String> {
    Some(match key {
        Key::Dialect => quoted(peering.dialect),
        Key::FirstStart => peering.first_start.to_string(),
        Key::LinkRate => quoted(peering.link_rate),
        Key::Metrics => quoted(peering.metrics),
        Key::Nodes => quoted(peering.nodes),
        Key::Ready => quoted(peering.ready),
        Key::Revocation => return peering.revocation.map(quoted),
        Key::RetrySlack => peering.retry_slack.to_string(),
        Key::Rollouts => peering.rollouts.to_string(),
        Key::Service => quoted(&peering.service),
        _ => return None,
    })
}

fn list(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses.iter().map(quoted).collect();
    format!("[{}]", quoted.join(", "))
}
