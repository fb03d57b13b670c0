//! A small deployment: a store, nodes with their instances, and a folder for settings and logs.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::instance::{self, Instance, Work};
use crate::node::{self, Node};
use crate::record::Record;
use crate::store::Store;

/// How long nodes may take to become ready.
const READY: Duration = Duration::from_secs(10);

/// The result of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// A deployment.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub nodes: Vec<Node>,
    pub instances: Vec<Arc<Instance>>,
    pub folder: PathBuf,
    ids: AtomicU64,
}

impl Site {
    pub fn new() -> Self {
        let folder = std::env::temp_dir().join(format!("cicadagw-review-{}", process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        Self {
            record: Arc::new(Record::new()),
            store: Store::start(),
            nodes: Vec::new(),
            instances: Vec::new(),
            folder,
            ids: AtomicU64::new(0),
        }
    }

    /// Starts a node for each service named, one host each, in four failure domains of two regions.
    pub fn start_nodes(&mut self, services: &[&str], peering: &str, memory_mb: u32) {
        for (index, service) in services.iter().enumerate() {
            let zone = ["kochi-a", "kozhikode-a", "kochi-b", "kozhikode-b"][index % 4];
            let setup = node::Setup {
                name: &format!("sidecar-{zone}-{}", index / 4 + 1),
                region: zone.split('-').next().unwrap_or(zone),
                zone,
                service,
                host: u8::try_from(index + 1).expect("a small deployment"),
                store: self.store.address,
                peering,
                memory_mb,
            };
            let mut node = Node::new(&setup, &self.folder);
            node.start();
            self.nodes.push(node);
        }
    }

    /// Starts an instance beside a node.
    pub fn start_instance(&mut self, index: usize, id: &str, work: Work) -> Arc<Instance> {
        let node = &self.nodes[index];
        let setup = instance::Setup {
            id,
            service: &node.service,
            version: "v1",
            zone: "kochi-a",
            address: node.app,
            control: node.control,
        };
        let instance = Instance::start(&setup, &self.record, work);
        self.instances.push(instance.clone());
        instance
    }

    /// Waits until all nodes are ready and the first heartbeats have been spread.
    pub fn is_up(&self) -> bool {
        let are_ready = self.nodes.iter().all(|node| node.wait_until_ready(READY));
        thread::sleep(Duration::from_secs(3));
        are_ready
    }

    /// Returns the id of a new request.
    pub fn id(&self, kind: &str) -> String {
        let number = self.ids.fetch_add(1, Ordering::SeqCst);
        format!("{kind}-{number:05}")
    }

    /// Sends a request on a new connection, and records the answer.
    pub fn request(&self, to: SocketAddr, id: &str, head: &str, body: &[u8]) -> Option<Message> {
        let answer = Connection::open(to).ok().and_then(|mut connection| {
            let wait = Duration::from_secs(4);
            connection.stream.set_read_timeout(Some(wait)).ok()?;
            let mut bytes =
                format!("{head}Cicadagw-Attempt-Id: {id}\r\nCicadagw-Deadline-Ms: 2000\r\n")
                    .into_bytes();
            if body.is_empty() {
                bytes.extend_from_slice(b"\r\n");
            } else {
                bytes.extend_from_slice(
                    format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes(),
                );
                bytes.extend_from_slice(body);
            }
            connection.write(&bytes).ok()?;
            connection.response().ok()?
        });
        let seen = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            let cut = if answer.is_cut { ", cut" } else { "" };
            format!("{} {:?}{cut}", answer.status(), answer.text())
        });
        self.record.note(&format!("{id} sent to {to}: {seen}"));
        answer
    }

    /// Ends everything and writes the record.
    pub fn finish(mut self, case: &Path, verdict: Verdict) -> Verdict {
        for instance in &self.instances {
            instance.end();
        }
        let ended: Vec<String> = self
            .nodes
            .iter_mut()
            .filter_map(|node| node.has_ended().then(|| node.name.clone()))
            .collect();
        if !ended.is_empty() {
            self.record
                .note(&format!("ended by themselves: {}", ended.join(", ")));
        }
        self.nodes.clear();
        self.record.note(&format!("verdict: {verdict:?}"));
        fs::write(case.join("record.txt"), self.record.text()).ok();
        if std::env::var("KEEP_LOGS").is_err() {
            fs::remove_dir_all(&self.folder).ok();
        }
        verdict
    }
}
