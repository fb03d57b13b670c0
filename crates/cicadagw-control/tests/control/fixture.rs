//! Fixtures: settings, configurations, peers and their messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cicadagw_config::{Config, Snapshot, Stamp, load};
use cicadagw_endpoint::{LocalUpdate, Record, State};
use cicadagw_settings::Settings;
use cicadagw_unit::size::Slots;
use cicadagw_unit::{Sequence, Version};
use cicadagw_wire::{Hello, Member, Report};
use smallvec::smallvec;

/// Failure domain of the node under test.
pub(crate) const DOMAIN: &str = "kochi-a";

/// Returns the link address of the node with this number.
pub(crate) fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

/// Returns name, rack and link address of the node with this number.
pub(crate) fn member(number: u16) -> Member {
    Member {
        link: address(number),
        node: format!("n{number}").parse().unwrap(),
        rack: "rack-1".parse().unwrap(),
    }
}

/// Returns the settings of the node with this number, in [`DOMAIN`].
pub(crate) fn settings(number: u16) -> Settings {
    Settings::builder()
        .admin(SocketAddr::from(([127, 0, 0, 1], 0)))
        .announce(SocketAddr::from(([127, 0, 0, 1], 0)))
        .calls(SocketAddr::from(([127, 0, 0, 1], 8000 + number)))
        .domain(DOMAIN.parse().unwrap())
        .link(address(number))
        .node(member(number).node)
        .platform(smallvec![SocketAddr::from(([127, 0, 0, 1], 6000))])
        .rack(member(number).rack)
        .region("kochi".parse().unwrap())
        .build()
}

/// Returns the same settings with seed nodes.
pub(crate) fn seeded(number: u16, seeds: &[u16]) -> Settings {
    Settings {
        seeds: seeds.iter().copied().map(address).collect(),
        ..settings(number)
    }
}

/// Returns a configuration with a route to `/{path}`.
pub(crate) fn config(path: &str) -> Config {
    let text = format!(
        r#"{{
  "routes": {{ "shop": {{ "prefix": "/{path}", "cluster": "shop", "policy": "browse" }} }},
  "clusters": {{ "shop": {{ "service": "shop", "secret": "key" }} }},
  "secrets": {{ "key": {{ "header": "x-key", "value": "hush" }} }},
  "policies": {{ "browse": {{ "timeout": "500ms" }} }},
  "presets": {{ "ordinary": {{}} }},
}}"#
    );
    load("shop.jsonc", &text).unwrap()
}

/// Returns the snapshot of a version; every version has different content.
pub(crate) fn snapshot(version: u64) -> Snapshot {
    Snapshot::new(
        Version::new(version),
        "ordinary".parse().unwrap(),
        config(&format!("v{version}")),
    )
}

/// Returns the stamp of a version; 0 stands for a node without a snapshot.
pub(crate) fn stamp(version: u64) -> Stamp {
    match version {
        0 => Stamp::default(),
        version => snapshot(version).stamp,
    }
}

/// Returns the request to join of the node with this number, whose snapshot has `version`.
pub(crate) fn hello(number: u16, version: u64) -> Hello {
    Hello {
        domain: DOMAIN.parse().unwrap(),
        endpoints: BTreeMap::new(),
        held: stamp(version),
        member: member(number),
        region: "kochi".parse().unwrap(),
    }
}

/// Returns the report of a subtree of `count` nodes, of which `serving` have a backend server; all
/// of them have at least `version`, and there are no laggards.
pub(crate) fn report(version: u64, count: u32, serving: u32) -> Report {
    Report {
        lowest: Version::new(version),
        count,
        serving,
        laggards: smallvec![],
    }
}

/// Returns a state change of the backend server of the node under test.
pub(crate) fn local(endpoint: &str, state: State) -> LocalUpdate {
    LocalUpdate {
        release: None,
        endpoint: endpoint.parse().unwrap(),
        has_left: false,
        service: "shop".parse().unwrap(),
        slots: Slots::new(10),
        limit: None,
        started_ms: 0,
        state,
    }
}

/// Returns the record of an endpoint of the node with this number.
pub(crate) fn record(number: u16, endpoint: &str, sequence: u64, state: State) -> Record {
    Record {
        release: None,
        address: SocketAddr::from(([127, 0, 0, 1], 8000 + number)),
        domain: DOMAIN.parse().unwrap(),
        endpoint: endpoint.parse().unwrap(),
        link: address(number),
        node: member(number).node,
        rack: member(number).rack,
        region: "kochi".parse().unwrap(),
        sequence: Sequence::new(sequence),
        service: "shop".parse().unwrap(),
        slots: Slots::new(10),
        limit: None,
        started_ms: 0,
        state,
    }
}
