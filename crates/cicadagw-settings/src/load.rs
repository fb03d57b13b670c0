//! Reading of settings.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use cicadagw_finding::Findings;
use cicadagw_jsonc::{Reader, Table};
use cicadagw_unit::size::{Hops, Slots};
use smallvec::SmallVec;

use crate::{Budget, Settings, Timing};

/// Reads settings from `text`, which came from `source`.
///
/// # Errors
///
/// All findings, each with its line and column.
pub fn load(source: &str, text: &str) -> Result<Settings, Findings> {
    cicadagw_jsonc::read(source, text, |document| {
        let table = document.table()?;
        let settings = settings(&table);
        table.finish();
        settings
    })
}

fn settings(table: &Table<'_, '_>) -> Option<Settings> {
    let admin: Option<SocketAddr> = need(table, "admin");
    let admin_token = table.get("admin_token").and_then(|value| value.text());
    if let (Some(address), Some(value)) = (admin, table.get("admin"))
        && admin_token.is_none()
        && !address.ip().is_loopback()
    {
        value.report_with_help(
            format!("`{address}` is no loopback address, and there is no admin_token"),
            "set admin_token, or use a loopback address",
        );
    }
    let announce = need(table, "announce");
    let calls = need(table, "calls");
    let domain = need(table, "domain");
    let link = need(table, "link");
    let node = need(table, "node");
    let platform = table.need("platform").and_then(|value| addresses(&value));
    let rack = need(table, "rack");
    let region = need(table, "region");
    let budget = table.get("budget").and_then(|value| budget(&value));
    let level = table.get("log").and_then(|value| value.parsed());
    let seeds = table.get("seeds").and_then(|value| addresses(&value));
    let timing = table.get("timing").and_then(|value| timing(&value));
    Some(Settings {
        admin: admin?,
        admin_token: admin_token.map(Into::into),
        announce: announce?,
        budget: budget.unwrap_or_default(),
        calls: calls?,
        domain: domain?,
        link: link?,
        log: level.unwrap_or_default(),
        node: node?,
        platform: platform?.into(),
        rack: rack?,
        region: region?,
        seeds: seeds.map(SmallVec::from).unwrap_or_default(),
        timing: timing.unwrap_or_default(),
    })
}

fn need<T: FromStr<Err: Display>>(table: &Table<'_, '_>, name: &'static str) -> Option<T> {
    table.need(name).and_then(|value| value.parsed())
}

fn addresses(value: &Reader<'_, '_>) -> Option<Vec<SocketAddr>> {
    value.list(Reader::parsed)
}

fn budget(value: &Reader<'_, '_>) -> Option<Budget> {
    let table = value.table()?;
    let default = Budget::default();
    let slots = |name, low, default: Slots| {
        table
            .get(name)
            .and_then(|value| value.number(low, 64))
            .and_then(|number| u32::try_from(number).ok())
            .map_or(default, Slots::new)
    };
    let budget = Budget {
        fanout: slots("fanout", 2, default.fanout),
        hops: table
            .get("hops")
            .and_then(|value| value.number(2, 200))
            .and_then(|number| u8::try_from(number).ok())
            .map_or(default.hops, Hops::new),
        whole_syncs: slots("whole_syncs", 1, default.whole_syncs),
    };
    table.finish();
    Some(budget)
}

fn timing(value: &Reader<'_, '_>) -> Option<Timing> {
    let table = value.table()?;
    let default = Timing::default();
    let span = |name, default| {
        table
            .get(name)
            .and_then(|value| value.parsed())
            .unwrap_or(default)
    };
    let timing = Timing {
        drain: span("drain", default.drain),
        heartbeat: span("heartbeat", default.heartbeat),
        lease: span("lease", default.lease),
        renewal: span("renewal", default.renewal),
        status: span("status", default.status),
    };
    table.finish();
    if timing.lease.get() < timing.heartbeat.get() {
        value.report("lease is shorter than heartbeat");
    }
    Some(timing)
}
