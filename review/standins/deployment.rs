//! A small deployment: the store, its configuration, and a temporary folder.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use crate::node::{Node, Place};
use crate::record::Record;
use crate::store::Store;

pub struct Deployment {
    pub store: Store,
    pub record: Record,
    folder: PathBuf,
}

/// A route of the configuration.
pub struct Route<'r> {
    pub name: &'r str,
    pub host: &'r str,
    pub prefix: &'r str,
    pub kind: &'r str,
    pub timeout: &'r str,
    pub latency: &'r str,
    pub service: &'r str,
}

impl Deployment {
    pub fn start(record: &Record) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("cicadagw-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            store: Store::start()?,
            record: record.clone(),
            folder,
        })
    }

    /// Writes a configuration, as the operator does; returns its size in bytes.
    pub fn configure(&self, version: u64, services: &[&str], routes: &[Route<'_>]) -> usize {
        let rows: Vec<String> = routes
            .iter()
            .map(|route| {
                format!(
                    r#"["{}","{}","{}","{}","{}","{}",2,"{}",2,null]"#,
                    route.name,
                    route.host,
                    route.prefix,
                    route.kind,
                    route.timeout,
                    route.latency,
                    route.service
                )
            })
            .collect();
        let services: Vec<String> = services
            .iter()
            .map(|service| format!(r#"["{service}","/health",110,"h1",false]"#))
            .collect();
        let spec = format!(
            r#"{{"version":"r{version}","routes":{{"columns":["name","host","pathPrefix","routeType","timeout","targetLatency","priority","service","maxAttempts","weightedSplit"],"rows":[{}]}},"services":{{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[{}]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}"#,
            rows.join(","),
            services.join(",")
        );
        self.store.write("config", "main", &spec);
        self.record.add(format!(
            "OPERATOR has written configuration r{version}, {} bytes",
            spec.len()
        ));
        spec.len()
    }

    /// Starts a node.
    pub fn start_node(&self, place: &Place<'_>) -> io::Result<Node> {
        let mut node = Node::new(place, self.store.address, &self.folder, &self.record)?;
        node.start()?;
        Ok(node)
    }

    /// Starts a node and waits until it is ready.
    pub fn node(&self, place: &Place<'_>) -> io::Result<Node> {
        let node = self.start_node(place)?;
        if !node.wait_ready(Duration::from_secs(10)) {
            return Err(io::Error::other(format!("{} is not ready", node.name)));
        }
        Ok(node)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}
