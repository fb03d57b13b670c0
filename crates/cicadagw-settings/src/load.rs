//! Loading and validation of settings.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use cicadagw_finding::Findings;
use cicadagw_jsonc::{Error, Object, Reader};
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::size::{Bytes, Hops, Slots};
use cicadagw_unit::time::Span;
use compact_str::CompactString;
use smallvec::SmallVec;

use crate::address::{address, listen_addresses, remote_addresses};
use crate::settings::BYTES_PER_MB;
use crate::{Budget, Format, Key, Peering, Section, Settings, Timing};

/// The number of bytes in a megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// The permitted length of an admin token, in bytes.
const TOKEN_LEN: std::ops::RangeInclusive<usize> = 8..=128;

/// Loads settings from `text`; `source` names the origin of the text in findings.
///
/// # Errors
///
/// Fails with all findings, each with its line and column.
pub fn load(source: &str, text: &str) -> Result<Settings, Findings> {
    parse(source, text).map_err(Error::into_findings)
}

/// Like [`load`], with an error that tells a text whose syntax is incomplete from complete settings
/// with findings.
///
/// # Errors
///
/// Fails like [`load`].
pub fn parse(source: &str, text: &str) -> Result<Settings, Error> {
    cicadagw_jsonc::parse(source, text, |document| {
        let root = document.object()?;
        let settings = settings(&root);
        root.finish();
        settings
    })
}

fn settings(object: &Object<'_, '_>) -> Option<Settings> {
    let [calls, link, announce, admin] =
        listen_addresses(object, [Key::Calls, Key::Link, Key::Announce, Key::Admin]);
    let admin_token = object
        .get(Key::AdminToken.name())
        .and_then(|value| token(&value));
    if let Some(address) = admin {
        check_admin_access(object, address);
    }
    let domain = required(object, Key::Domain);
    let node = required(object, Key::Node);
    let platform = object
        .required(Key::Platform.name())
        .and_then(|value| remote_addresses(&value, Key::Platform));
    let peering = object
        .get(Section::Peering.name())
        .map(|value| peering(&value));
    let rack = required(object, Key::Rack);
    let region = required(object, Key::Region);
    let budget = object
        .get(Section::Budget.name())
        .and_then(|value| budget(&value));
    let level = object.get(Key::Log.name()).and_then(|value| value.parse());
    let seeds = object
        .get(Key::Seeds.name())
        .and_then(|value| remote_addresses(&value, Key::Seeds));
    let timing = object
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

/// Reads and parses the required string `key`.
fn required<T: FromStr<Err: Display>>(object: &Object<'_, '_>, key: Key) -> Option<T> {
    object.required(key.name()).and_then(|value| value.parse())
}

/// Reports a non-loopback admin address that no admin token protects.
fn check_admin_access(object: &Object<'_, '_>, address: SocketAddr) {
    let Some(value) = object.get(Key::Admin.name()) else {
        return;
    };
    if object.get(Key::AdminToken.name()).is_none() && !address.ip().is_loopback() {
        value.report_with_help(
            format!("`{address}` is not a loopback address, and `admin_token` is not set"),
            "set `admin_token`, or use a loopback address",
        );
    }
}

/// Reads a token; findings do not reveal its value.
fn token(value: &Reader<'_, '_>) -> Option<CompactString> {
    let text = value.string()?;
    let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~+/=".contains(&byte);
    if TOKEN_LEN.contains(&text.len()) && text.bytes().all(is_valid) {
        return Some(text.into());
    }
    let format = Key::AdminToken.format();
    value.report(format!("the admin token is not valid: expected {format}"));
    None
}

fn budget(value: &Reader<'_, '_>) -> Option<Budget> {
    let object = value.object()?;
    let default = Budget::default();
    let slots = |key, default| {
        count(&object, key)
            .and_then(|number| u32::try_from(number).ok())
            .map_or(default, Slots::new)
    };
    let budget = Budget {
        descriptors: count(&object, Key::Descriptors)
            .and_then(|number| u32::try_from(number).ok())
            .map(Slots::new),
        fanout: slots(Key::Fanout, default.fanout),
        hops: count(&object, Key::Hops)
            .and_then(|number| u8::try_from(number).ok())
            .map_or(default.hops, Hops::new),
        memory: count(&object, Key::Memory)
            .map_or(default.memory, |number| Bytes::new(number * BYTES_PER_MB)),
        whole_syncs: slots(Key::WholeSyncs, default.whole_syncs),
    };
    object.finish();
    Some(budget)
}

/// Reads the peering section, which must be empty or complete.
fn peering(value: &Reader<'_, '_>) -> PeeringSection {
    match value.object() {
        Some(object) if object.entries().next().is_none() => PeeringSection::Absent,
        Some(object) => peering_fields(&object).map_or(PeeringSection::Invalid, |peering| {
            PeeringSection::Complete(Box::new(peering))
        }),
        None => PeeringSection::Invalid,
    }
}

/// The result of reading the peering section, most of whose keys are required unless it is empty.
#[derive(Default)]
enum PeeringSection {
    #[default]
    Absent,
    Complete(Box<Peering>),
    Invalid,
}

impl PeeringSection {
    /// Returns `None` if the section is invalid, and `Some(None)` if it is absent or empty.
    #[expect(
        clippy::option_option,
        reason = "an invalid section differs from an absent one"
    )]
    fn into_option(self) -> Option<Option<Peering>> {
        match self {
            Self::Absent => Some(None),
            Self::Complete(peering) => Some(Some(*peering)),
            Self::Invalid => None,
        }
    }
}

/// Reads the fields of the peering section. `link_rate`, `revocation` and `rollouts` are optional.
fn peering_fields(object: &Object<'_, '_>) -> Option<Peering> {
    let dialect = required(object, Key::Dialect);
    let first_start = object
        .required(Key::FirstStart.name())
        .and_then(|value| value.boolean());
    let link_rate = object
        .get(Key::LinkRate.name())
        .map_or(Some(Peering::LINK_RATE_DEFAULT), |value| rate(&value));
    let metrics = required_address(object, Key::Metrics);
    let nodes = required_address(object, Key::Nodes);
    let ready = required_address(object, Key::Ready);
    let retry_slack = object.required(Key::RetrySlack.name());
    let retry_slack = retry_slack.and_then(|_| count(object, Key::RetrySlack));
    let revocation = span(object, Key::Revocation);
    let rollouts = object.get(Key::Rollouts.name());
    let rollouts = rollouts.map_or(Some(false), |value| value.boolean());
    let service = required(object, Key::Service);
    object.report_unknown();
    Some(Peering {
        dialect: dialect?,
        first_start: first_start?,
        link_rate: link_rate?,
        metrics: metrics?,
        nodes: nodes?,
        ready: ready?,
        retry_slack: u32::try_from(retry_slack?).ok()?,
        revocation,
        rollouts: rollouts?,
        service: service?,
    })
}

/// Reads a rate in bytes or megabits per second.
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
            value.report(format!(
                "`{megabits}Mbit/s` is not a valid rate: expected {}",
                Format::Rate
            ));
            None
        }
    }
}

/// Reads the required address `key`.
fn required_address(object: &Object<'_, '_>, key: Key) -> Option<SocketAddr> {
    object
        .required(key.name())
        .and_then(|value| address(&value))
}

/// Reads the count or amount `key`, if it is present, and checks the bounds of its format.
fn count(object: &Object<'_, '_>, key: Key) -> Option<u64> {
    let value = object.get(key.name())?;
    match key.format() {
        Format::Amount(low, high) => value.rounded(low, high),
        Format::Count(low, high) => value.number(low, high),
        _ => unreachable!("the format of `{key}` is a count or an amount"),
    }
}

fn timing(value: &Reader<'_, '_>) -> Option<Timing> {
    let object = value.object()?;
    let default = Timing::default();
    let timing = Timing {
        drain: span(&object, Key::Drain).unwrap_or(default.drain),
        heartbeat: span(&object, Key::Heartbeat).unwrap_or(default.heartbeat),
        lease: span(&object, Key::Lease).unwrap_or(default.lease),
        renewal: span(&object, Key::Renewal).unwrap_or(default.renewal),
        status: span(&object, Key::Status).unwrap_or(default.status),
    };
    if timing.lease < timing.heartbeat {
        let lease = object.get(Key::Lease.name()).unwrap_or(*value);
        lease.report_with_help(
            format!(
                "`lease` {} is shorter than `heartbeat` {}",
                timing.lease, timing.heartbeat
            ),
            "set `lease` to at least three times `heartbeat`, so that two lost heartbeats do not end it",
        );
    }
    object.finish();
    Some(timing)
}

/// Reads the span `key`, in milliseconds or seconds, if it is present, and checks the bounds of its
/// format.
fn span(object: &Object<'_, '_>, key: Key) -> Option<Span> {
    let Format::Span(low, high) = key.format() else {
        unreachable!("the format of `{key}` is a span");
    };
    let value = object.get(key.name())?;
    let span = match Span::from_decimal(value.string()?) {
        Some(span) => span,
        None => value.parse()?,
    };
    if (low..=high).contains(&span.get()) {
        return Some(span);
    }
    value.report(format!(
        "`{span}` is out of range: expected {low}ms to {high}ms"
    ));
    None
}
