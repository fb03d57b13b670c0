//! Records, state changes and state machines of nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_config::account::Quota;
use cicadagw_config::{Account, Config, Preset, Snapshot};
use cicadagw_endpoint::{Departures, LocalUpdate, State};
use cicadagw_gossip::{Core, Member, Setup, Stamp};
use cicadagw_unit::Version;
use cicadagw_unit::rate::{Burst, CallRate};
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};

/// The regions; nodes are assigned to them in turn.
pub const REGIONS: [&str; 2] = ["kochi", "kozhikode"];

/// The time after which a revoked key is not accepted anywhere.
pub const REVOCATION: Span = Span::seconds(5);

/// Returns a snapshot of this version with an otherwise empty configuration.
pub fn snapshot(version: u64) -> Arc<Snapshot> {
    let preset: cicadagw_unit::id::Preset = "operator".parse().unwrap();
    let mut config = Config::default();
    config.presets.insert(preset.clone(), Preset::default());
    Arc::new(Snapshot::new(Version::new(version), preset, config))
}

/// Returns a snapshot of this version with one account, `club`, that has a quota of 40 calls a second.
pub fn snapshot_with_quota(version: u64) -> Arc<Snapshot> {
    let mut config = snapshot(version).config.clone();
    let quota = Quota {
        burst: Burst::new(40),
        rate: CallRate::from_milli(40_000),
    };
    let account = Account {
        quota: Some(quota),
        ..Account::default()
    };
    config.accounts.insert("club".parse().unwrap(), account);
    let preset = "operator".parse().unwrap();
    Arc::new(Snapshot::new(Version::new(version), preset, config))
}

/// Returns a state change of an endpoint of a backend server.
pub fn local(endpoint: &str, state: State) -> LocalUpdate {
    LocalUpdate {
        release: None,
        endpoint: endpoint.parse().unwrap(),
        has_left: false,
        service: "orders".parse().unwrap(),
        slots: Slots::new(9),
        limit: None,
        started_ms: 0,
        state,
    }
}

/// Returns the address of node `index`.
pub fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index).unwrap() + 1;
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Returns a record of node `index` without a backend server.
pub fn member(index: usize, stamp: Stamp) -> Member {
    let region = REGIONS[index % REGIONS.len()];
    Member {
        backend: None,
        calls: address(index),
        departures: Departures::default(),
        domain: format!("{region}-a").parse().unwrap(),
        gossip: address(index),
        is_leaving: false,
        node: format!("node-{index:04}").parse().unwrap(),
        region: region.parse().unwrap(),
        stamp,
    }
}

/// Creates the state machine of node `index`, in one of two regions. The process started at
/// `start_ms`; 1 stands for a node that was never registered.
pub fn new_core(index: usize, start_ms: u64) -> Core {
    Core::new(setup(index, start_ms))
}

/// Creates the state machine of node `index` where keys must not outlive their revocation.
pub fn new_strict_core(index: usize, start_ms: u64) -> Core {
    Core::new(Setup {
        origin: origin(index),
        revocation: Some(REVOCATION),
        ..setup(index, start_ms)
    })
}

/// Returns the host's time at which the clock of node `index` started; each host has its own.
pub fn origin(index: usize) -> Timestamp {
    Timestamp::new(10_000_000 * (index as u64 + 1))
}

/// Creates the state machine of node `index` where operators order rollouts.
pub fn new_core_with_rollouts(index: usize, start_ms: u64) -> Core {
    Core::new(Setup {
        rollouts: true,
        ..setup(index, start_ms)
    })
}

fn setup(index: usize, start_ms: u64) -> Setup {
    let region = REGIONS[index % REGIONS.len()];
    Setup::builder()
        .calls(address(index))
        .domain(format!("{region}-a").parse().unwrap())
        .first_start(start_ms == 1)
        .gossip(address(index))
        .node(format!("node-{index:04}").parse().unwrap())
        .region(region.parse().unwrap())
        .seed(index as u64)
        .start_ms(start_ms)
        .build()
}
