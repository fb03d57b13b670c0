//! The settings and configurations of the example deployments kalavara and wakala load and are
//! consistent.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use cicadagw_settings::{Settings, load};
use cicadagw_unit::id;

/// The presets that every deployment declares.
const PRESETS: [&str; 3] = ["maintenance", "ordinary", "peak"];

/// The number of failure domains of a deployment; each service has one node in each of them.
const DOMAINS: usize = 4;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Loads the settings of all nodes of a deployment.
fn nodes(deployment: &str) -> Vec<Settings> {
    let folder = root().join(deployment).join("nodes");
    let entries = fs::read_dir(folder).unwrap();
    entries.map(|entry| node(&entry.unwrap().path())).collect()
}

fn node(path: &Path) -> Settings {
    let source = path.display().to_string();
    let text = fs::read_to_string(path).unwrap();
    load(&source, &text).unwrap()
}

fn config(deployment: &str) -> cicadagw_config::Config {
    let path = root().join(deployment).join("config.jsonc");
    let text = fs::read_to_string(path).unwrap();
    cicadagw_config::load("config.jsonc", &text).unwrap()
}

/// Asserts that a deployment declares all presets and services, and has one node for each service in
/// each failure domain.
fn check(deployment: &str, domains: [&str; 4], services: [&str; 3]) {
    let nodes = nodes(deployment);
    let config = config(deployment);

    let presets: Vec<&str> = config.presets.keys().map(id::Preset::as_str).collect();
    assert_eq!(presets, PRESETS);
    let declared: Vec<&str> = config
        .clusters
        .values()
        .map(|cluster| cluster.service.as_str())
        .collect();
    assert_eq!(declared, services);
    assert_eq!(nodes.len(), services.len() * DOMAINS);
    for domain in domains {
        for service in services {
            let name = format!("{domain}-{service}");
            let node = nodes
                .iter()
                .find(|node| node.node.as_str() == name)
                .unwrap();
            assert_eq!(node.domain.as_str(), domain);
        }
    }
}

/// Asserts that no two nodes listen on the same address, and that every seed is the link address of
/// another node of the same failure domain.
fn assert_addresses_are_consistent(deployment: &str) {
    let nodes = nodes(deployment);

    let addresses = nodes
        .iter()
        .flat_map(|node| [node.calls, node.link, node.announce, node.admin]);
    assert_eq!(addresses.collect::<BTreeSet<_>>().len(), nodes.len() * 4);
    for node in &nodes {
        for seed in &node.seeds {
            let peer = nodes.iter().find(|other| other.link == *seed).unwrap();
            assert_eq!(peer.domain, node.domain);
            assert_ne!(peer.node, node.node);
        }
    }
}

#[test]
fn the_kalavara_example_is_complete_and_consistent() {
    check(
        "kalavara",
        ["kochi-a", "kochi-b", "kozhikode-a", "kozhikode-b"],
        ["catalogue", "media", "orders"],
    );
    assert_addresses_are_consistent("kalavara");
}

#[test]
fn the_wakala_example_is_complete_and_consistent() {
    check(
        "wakala",
        ["casa-ain", "casa-sidi", "rabat-agdal", "rabat-hay"],
        ["archive", "lookup", "registry"],
    );
    assert_addresses_are_consistent("wakala");
}
