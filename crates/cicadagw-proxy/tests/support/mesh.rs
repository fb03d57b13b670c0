//! Nodes that share one view.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use cicadagw_call::balancer::Locality;
use cicadagw_call::quota::{Grant, Request};
use cicadagw_config::{Snapshot, load};
use cicadagw_dialect::{Dialect, Native};
use cicadagw_endpoint::{LocalUpdate, Record, State};
use cicadagw_proxy::{Limits, Quota, Setup, Stats, run};
use cicadagw_ring::{Receiver, Sender, channel};
use cicadagw_settings::{Budget, Timing};
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::size::{Bytes, Hops, Slots};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Sequence, Version, id};
use cicadagw_view::{Shared, View, host_time};
use tokio_util::sync::CancellationToken;

use super::backend::Backend;
use super::caller::{Response, call};

/// The configuration that most tests use.
pub const CONFIG: &str = r#"{
  "routes": {
    "orders": { "prefix": "/orders", "cluster": "orders", "policy": "plain" },
    "brief": { "prefix": "/brief", "cluster": "orders", "policy": "brief" },
    "narrow": { "prefix": "/narrow", "cluster": "orders", "policy": "narrow" },
  },
  "clusters": { "orders": { "service": "orders", "secret": "key" } },
  "secrets": { "key": { "header": "x-key", "value": "open-sesame" } },
  "policies": {
    "plain": { "timeout": "30000ms" },
    "brief": { "timeout": "2000ms", "concurrency": "1", "queue": "0" },
    "narrow": { "timeout": "30000ms", "concurrency": "1", "queue": "1" },
  },
  "presets": { "ordinary": {} },
}"#;

/// A configuration with one route, with a latency target and a concurrency of one.
pub const TARGET_LATENCY_CONFIG: &str = r#"{
  "routes": { "slow": { "prefix": "/slow", "cluster": "orders", "policy": "slow" } },
  "clusters": { "orders": { "service": "orders" } },
  "policies": {
    "slow": { "timeout": "30000ms", "concurrency": "1", "target_latency": "200ms", "idempotency": "never" },
  },
  "presets": { "ordinary": {} },
}"#;

/// The capacity of the ring of updates to the control duty.
pub const RING_CAPACITY: u16 = 16;

/// Creates nodes that share one view, and collects the endpoints that they report.
pub struct Mesh {
    pub view: Shared,
    /// When the configuration was confirmed, on the host's clock.
    confirmed_at: Option<Timestamp>,
    dialect: Arc<dyn Dialect>,
    shutdown_delay: Span,
    drain: Span,
    link_rate: Option<Throughput>,
    records: BTreeMap<id::Endpoint, Record>,
    revocation: Option<Span>,
    snapshot: Arc<Snapshot>,
}

/// One node.
pub struct Node {
    pub calls: SocketAddr,
    pub announce: SocketAddr,
    pub ready: SocketAddr,
    pub stats: Arc<Stats>,
    /// The answers to the node's requests for tokens.
    pub grants: Sender<Grant>,
    /// The node's requests for tokens.
    pub requests: Receiver<Request>,
    name: id::Node,
    control: Receiver<LocalUpdate>,
    token: CancellationToken,
    thread: JoinHandle<std::io::Result<()>>,
}

impl Mesh {
    pub fn new() -> Self {
        let mesh = Self {
            view: Shared::default(),
            confirmed_at: None,
            dialect: Arc::new(Native),
            shutdown_delay: Span::new(0),
            drain: Timing::default().drain,
            link_rate: None,
            records: BTreeMap::new(),
            revocation: None,
            snapshot: snapshot(1, CONFIG),
        };
        mesh.publish();
        mesh
    }

    /// Replaces the configuration.
    pub fn configure(&mut self, version: u64, text: &str) {
        self.snapshot = snapshot(version, text);
        self.publish();
    }

    /// Sets the dialect of nodes started from now on.
    pub fn set_dialect(&mut self, dialect: Arc<dyn Dialect>) {
        self.dialect = dialect;
    }

    /// Sets the time after which revoked keys are not accepted, of nodes started from now on.
    pub fn set_revocation(&mut self, span: Span) {
        self.revocation = Some(span);
    }

    /// Publishes that the configuration was confirmed `age` ago, or never.
    pub fn confirm(&mut self, age: Option<Span>) {
        self.confirmed_at = age.map(|age| host_time().before(age));
        self.publish();
    }

    /// Sets the shutdown delay of nodes started from now on.
    pub fn set_shutdown_delay(&mut self, span: Span) {
        self.shutdown_delay = span;
    }

    /// Sets the time after which nodes started from now on abort their calls when they shut down.
    pub fn set_drain(&mut self, span: Span) {
        self.drain = span;
    }

    /// Sets the throughput of the links of nodes started from now on.
    pub fn set_link_rate(&mut self, rate: Throughput) {
        self.link_rate = Some(rate);
    }

    /// Starts a node.
    pub fn node(&self, name: &str) -> Node {
        let calls = TcpListener::bind("127.0.0.1:0").unwrap();
        let announce = TcpListener::bind("127.0.0.1:0").unwrap();
        let ready = TcpListener::bind("127.0.0.1:0").unwrap();
        let ready_address = ready.local_addr().unwrap();
        let (sender, control) = channel("control", RING_CAPACITY.into());
        let (request_sender, requests) = channel("quota-requests", RING_CAPACITY.into());
        let (grants, grant_receiver) = channel("quota-grants", RING_CAPACITY.into());
        let token = CancellationToken::new();
        let stats = Arc::<Stats>::default();
        let name: id::Node = name.parse().unwrap();
        let addresses = (calls.local_addr().unwrap(), announce.local_addr().unwrap());
        let setup = Setup::builder()
            .announce(announce)
            .budget(Budget {
                hops: Hops::new(8),
                ..Budget::default()
            })
            .calls(calls)
            .control(sender)
            .limits(Limits {
                body: Bytes::new(64 << 20),
                ..Limits::default()
            })
            .dialect(self.dialect.clone())
            .shutdown_delay(self.shutdown_delay)
            .locality(Locality {
                domain: "kochi-a".parse().unwrap(),
                node: name.clone(),
                region: "kochi".parse().unwrap(),
            })
            .quota(Quota {
                grants: grant_receiver,
                requests: request_sender,
            })
            .ready(ready)
            .maybe_link_rate(self.link_rate)
            .maybe_revocation(self.revocation)
            .seed(7)
            .service("shop".parse().unwrap())
            .stats(stats.clone())
            .timing(Timing {
                drain: self.drain,
                renewal: Span::seconds(600),
                ..Timing::default()
            })
            .token(token.clone())
            .view(self.view.clone())
            .build();
        Node {
            calls: addresses.0,
            announce: addresses.1,
            ready: ready_address,
            stats,
            grants,
            requests,
            name,
            control,
            token,
            thread: std::thread::spawn(|| run(setup)),
        }
    }

    /// Announces `backend` at `node`, and propagates the update.
    pub async fn announce(&mut self, node: &Node, endpoint: &str, backend: &Backend) {
        let response = node.announce(endpoint, backend.address, "ready").await;
        assert_eq!(response.status, 200);
        self.propagate(node).await;
    }

    /// Waits for an update from `node` and publishes it in the view.
    pub async fn propagate(&mut self, node: &Node) -> LocalUpdate {
        let update = node.control.recv().await.unwrap();
        self.records.insert(
            update.endpoint.clone(),
            Record {
                release: update.release.clone(),
                address: node.calls,
                domain: "kochi-a".parse().unwrap(),
                endpoint: update.endpoint.clone(),
                link: node.calls,
                node: node.name.clone(),
                rack: "rack-1".parse().unwrap(),
                region: "kochi".parse().unwrap(),
                sequence: Sequence::new(1),
                service: update.service.clone(),
                slots: update.slots,
                limit: None,
                started_ms: 0,
                state: update.state,
            },
        );
        self.publish();
        update
    }

    /// Publishes an endpoint of the service `orders` in `region` whose node is at `address`.
    pub fn add_endpoint(&mut self, endpoint: &str, region: &str, address: SocketAddr) {
        let endpoint: id::Endpoint = endpoint.parse().unwrap();
        self.records.insert(
            endpoint.clone(),
            Record {
                release: None,
                address,
                domain: format!("{region}-a").parse().unwrap(),
                endpoint,
                link: address,
                node: "elsewhere".parse().unwrap(),
                rack: "rack-1".parse().unwrap(),
                region: region.parse().unwrap(),
                sequence: Sequence::new(1),
                service: "orders".parse().unwrap(),
                slots: Slots::new(20),
                limit: None,
                started_ms: 0,
                state: State::Ready,
            },
        );
        self.publish();
    }

    fn publish(&self) {
        let mut endpoints = cicadagw_view::Endpoints::new();
        for record in self.records.values() {
            if record.state == State::Ready {
                let list = endpoints.entry(record.service.clone()).or_default();
                list.push(record.clone());
            }
        }
        self.view.publish(View {
            quota_parts: 1,
            confirmed_at: self.confirmed_at,
            departures: cicadagw_endpoint::Departures::default(),
            snapshot: Some(self.snapshot.clone()),
            endpoints: Arc::new(endpoints),
            members: 0,
            rollouts: Arc::default(),
        });
    }
}

impl Node {
    /// Announces an endpoint of the service `orders`.
    pub async fn announce(&self, endpoint: &str, address: SocketAddr, state: &str) -> Response {
        let body = format!(
            r#"{{"endpoint":"{endpoint}","service":"orders","address":"{address}","slots":20,"connections":100,"state":"{state}","load":{{"in_flight":0}}}}"#
        );
        call("POST", "/announce")
            .header("content-length", &body.len().to_string())
            .raw_body(body.as_bytes())
            .send(self.announce)
            .await
    }

    /// Starts the shutdown of the node.
    pub fn start_shutdown(&self) {
        self.token.cancel();
    }

    /// Waits until the node has shut down.
    pub async fn wait_for_exit(self) {
        let thread = self.thread;
        tokio::task::spawn_blocking(|| thread.join().unwrap().unwrap())
            .await
            .unwrap();
    }
}

fn snapshot(version: u64, text: &str) -> Arc<Snapshot> {
    let config = load("orders.jsonc", text).unwrap();
    let preset = "ordinary".parse().unwrap();
    Arc::new(Snapshot::new(Version::new(version), preset, config))
}
