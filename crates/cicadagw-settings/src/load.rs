//! Reading of settings.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use cicadagw_finding::Findings;
use cicadagw_jsonc::{Object, Reader};
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::size::{Hops, Slots};
use cicadagw_unit::time::Span;
use compact_str::CompactString;
use smallvec::SmallVec;

use crate::address::{address, listeners, peers};
use crate::{Budget, Format, Key, Peering, Section, Settings, Timing};

/// How many bytes a megabit has.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// The length of an admin token, in bytes.
const TOKEN_LEN: std::ops::RangeInclusive<usize> = 8..=128;

/// Reads settings from `text`, which came from `source`.
///
/// # Errors
///
/// All findings, each with its line and column.
pub fn load(source: &str, text: &str) -> Result<Settings, Findings> {
    cicadagw_jsonc::read(source, text, |document| {
        let table = document.object()?;
        let settings = settings(&table);
        table.finish();
        settings
    })
}

fn settings(table: &Object<'_, '_>) -> Option<Settings> {
    let [calls, link, announce, admin] =
        listeners(table, [Key::Calls, Key::Link, Key::Announce, Key::Admin]);
    let admin_token = table
        .get(Key::AdminToken.name())
        .and_then(|value| token(&value));
    if let Some(address) = admin {
        check_guard(table, address);
    }
    let domain = need(table, Key::Domain);
    let node = need(table, Key::Node);
    let platform = table
        .required(Key::Platform.name())
        .and_then(|value| peers(&value, Key::Platform));
    let peering = table
        .get(Section::Peering.name())
        .map(|value| peering(&value));
    let rack = need(table, Key::Rack);
    let region = need(table, Key::Region);
    let budget = table
        .get(Section::Budget.name())
        .and_then(|value| budget(&value));
    let level = table.get(Key::Log.name()).and_then(|value| value.parse());
    let seeds = table
        .get(Key::Seeds.name())
        .and_then(|value| peers(&value, Key::Seeds));
    let timing = table
        .get(Section::Timing.name())
        .and_then(|value| timing(&value));
    Some(Settings {
        admin: admin?,
        admin_token,
        announce: announce?,
        budget: budget.unwrap_or_default(),
        calls: calls?,
        domain: domain?,
        link: link?,
        log: level.unwrap_or_default(),
        node: node?,
        peering: peering.unwrap_or_default().into_option()?,
        platform: platform?.into(),
        rack: rack?,
        region: region?,
        seeds: seeds.map(SmallVec::from).unwrap_or_default(),
        timing: timing.unwrap_or_default(),
    })
}

fn need<T: FromStr<Err: Display>>(table: &Object<'_, '_>, key: Key) -> Option<T> {
    table.required(key.name()).and_then(|value| value.parse())
}

/// Reports admin pages that everyone could reach.
fn check_guard(table: &Object<'_, '_>, address: SocketAddr) {
    let Some(value) = table.get(Key::Admin.name()) else {
        return;
    };
    if table.get(Key::AdminToken.name()).is_none() && !address.ip().is_loopback() {
        value.report_with_help(
            format!("`{address}` is no loopback address, and there is no admin_token"),
            "set admin_token, or use a loopback address",
        );
    }
}

/// Reads a token; the finding does not show it.
fn token(value: &Reader<'_, '_>) -> Option<CompactString> {
    let text = value.string()?;
    let is_good = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~+/=".contains(&byte);
    if TOKEN_LEN.contains(&text.len()) && text.bytes().all(is_good) {
        return Some(text.into());
    }
    let form = Key::AdminToken.format();
    value.report(format!("the admin token cannot be used: expected {form}"));
    None
}

fn budget(value: &Reader<'_, '_>) -> Option<Budget> {
    let table = value.object()?;
    let default = Budget::default();
    let slots = |key, default| {
        count(&table, key)
            .and_then(|number| u32::try_from(number).ok())
            .map_or(default, Slots::new)
    };
    let budget = Budget {
        fanout: slots(Key::Fanout, default.fanout),
        hops: count(&table, Key::Hops)
            .and_then(|number| u8::try_from(number).ok())
            .map_or(default.hops, Hops::new),
        whole_syncs: slots(Key::WholeSyncs, default.whole_syncs),
    };
    table.finish();
    Some(budget)
}

/// Reads a table of which nothing or all must be there.
fn peering(value: &Reader<'_, '_>) -> Whole {
    match value.object() {
        Some(table) if table.entries().next().is_none() => Whole::Nothing,
        Some(table) => {
            filled(&table).map_or(Whole::Faulty, |peering| Whole::All(Box::new(peering)))
        }
        None => Whole::Faulty,
    }
}

/// A table of which nothing or all must be there.
#[derive(Default)]
enum Whole {
    #[default]
    Nothing,
    All(Box<Peering>),
    Faulty,
}

impl Whole {
    /// Returns what is there; none when it is faulty.
    #[expect(clippy::option_option, reason = "a faulty table is not an absent one")]
    fn into_option(self) -> Option<Option<Peering>> {
        match self {
            Self::Nothing => Some(None),
            Self::All(peering) => Some(Some(*peering)),
            Self::Faulty => None,
        }
    }
}

fn filled(table: &Object<'_, '_>) -> Option<Peering> {
    let dialect = need(table, Key::Dialect);
    let first_start = table
        .required(Key::FirstStart.name())
        .and_then(|value| value.boolean());
    let link_rate = table
        .required(Key::LinkRate.name())
        .and_then(|value| rate(&value));
    let metrics = need_address(table, Key::Metrics);
    let nodes = need_address(table, Key::Nodes);
    let ready = need_address(table, Key::Ready);
    let retry_slack = table.required(Key::RetrySlack.name());
    let retry_slack = retry_slack.and_then(|_| count(table, Key::RetrySlack));
    let service = need(table, Key::Service);
    table.report_unknown();
    Some(Peering {
        dialect: dialect?,
        first_start: first_start?,
        link_rate: link_rate?,
        metrics: metrics?,
        nodes: nodes?,
        ready: ready?,
        retry_slack: u32::try_from(retry_slack?).ok()?,
        service: service?,
    })
}

fn rate(value: &Reader<'_, '_>) -> Option<Throughput> {
    let Some(megabits) = value.string()?.strip_suffix("Mbit/s") else {
        return value.parse();
    };
    let rate = megabits
        .parse::<f64>()
        .ok()
        .map(|rate| rate * BYTES_PER_MEGABIT);
    match rate {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range is checked"
        )]
        Some(rate) if (1.0..1e15).contains(&rate) => Some(Throughput::new(rate as u64)),
        _ => {
            value.report(format!("`{megabits}` is no number of megabits a second"));
            None
        }
    }
}

fn need_address(table: &Object<'_, '_>, key: Key) -> Option<SocketAddr> {
    table.required(key.name()).and_then(|value| address(&value))
}

fn count(table: &Object<'_, '_>, key: Key) -> Option<u64> {
    let Format::Count(low, high) = key.format() else {
        unreachable!("`{key}` holds a count");
    };
    table.get(key.name())?.number(low, high)
}

fn timing(value: &Reader<'_, '_>) -> Option<Timing> {
    let table = value.object()?;
    let default = Timing::default();
    let timing = Timing {
        drain: span(&table, Key::Drain).unwrap_or(default.drain),
        heartbeat: span(&table, Key::Heartbeat).unwrap_or(default.heartbeat),
        lease: span(&table, Key::Lease).unwrap_or(default.lease),
        renewal: span(&table, Key::Renewal).unwrap_or(default.renewal),
        status: span(&table, Key::Status).unwrap_or(default.status),
    };
    if timing.lease < timing.heartbeat {
        let place = table.get(Key::Lease.name()).unwrap_or(*value);
        place.report_with_help(
            format!(
                "lease {} is shorter than heartbeat {}",
                timing.lease, timing.heartbeat
            ),
            "a lease of three heartbeats outlives two that were lost",
        );
    }
    table.finish();
    Some(timing)
}

fn span(table: &Object<'_, '_>, key: Key) -> Option<Span> {
    let Format::Span(low, high) = key.format() else {
        unreachable!("`{key}` holds a span of time");
    };
    let value = table.get(key.name())?;
    let span = match value.string()?.strip_suffix('s').map(str::parse::<u64>) {
        Some(Ok(seconds)) => Span::seconds(seconds),
        _ => value.parse()?,
    };
    if (low..=high).contains(&span.get()) {
        return Some(span);
    }
    value.report(format!("`{span}` is not from {low}ms to {high}ms"));
    None
}
