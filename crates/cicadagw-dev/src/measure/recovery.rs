//! Recovery after the loss of a failure domain, and of the fleet root.

use std::io;
use std::time::{Duration, Instant};

use cicadagw_unit::id;
use tokio::time::sleep;

use super::converge::latest_ms;
use super::figures::Figures;
use super::role::Role;
use super::sample::Sample;
use super::testbed::Testbed;
use crate::process::Node;

/// The time between the loss of the fleet root and the next change.
const CHANGE_DELAY: Duration = Duration::from_millis(200);

/// Kills all nodes of a failure domain that holds neither a region root nor the fleet root, starts
/// them again, and measures how long they take to hold the newest version.
pub(crate) async fn measure_domain_loss(
    testbed: &mut Testbed,
    figures: &mut Figures,
) -> io::Result<()> {
    let domain = domain_without_higher_root(testbed).await?;
    let load = testbed.platform.load().await?;
    let before = across_regions(testbed, &domain).await?;
    for node in &mut testbed.fleet.nodes {
        if node.locality.domain == domain {
            kill(node)?;
        }
    }
    let start = Instant::now();
    testbed.restart()?;
    let version = testbed.operator.version();
    let in_domain = |node: &&Node| node.locality.domain == domain;
    let nodes = testbed.fleet.nodes.iter().filter(in_domain);
    let admins: Vec<_> = nodes.map(|node| node.admin).collect();
    let ends = testbed.observer.wait_for(&admins, version).await?;
    let calls = testbed.platform.load().await?.since(&load).calls;
    let across = across_regions(testbed, &domain).await? - before;
    figures.insert("recovery.domain-ms".into(), latest_ms(start, &ends));
    figures.insert("recovery.domain-nodes".into(), admins.len() as f64);
    figures.insert("recovery.domain-platform-calls".into(), calls as f64);
    figures.insert("recovery.domain-across-regions-payload-B".into(), across);
    Ok(())
}

/// Kills the fleet root, accepts a change a moment later, and measures how long the other nodes take
/// to hold it; then starts the killed node again.
pub(crate) async fn measure_root_loss(
    testbed: &mut Testbed,
    figures: &mut Figures,
) -> io::Result<()> {
    let roles = testbed.roles().await?;
    let root = roles.iter().position(|role| *role == Role::FleetRoot);
    let root = root.ok_or_else(|| io::Error::other("no node is the fleet root"))?;
    let mut admins = testbed.admins();
    admins.remove(root);
    kill(&mut testbed.fleet.nodes[root])?;
    sleep(CHANGE_DELAY).await;
    let accepted = testbed.operator.change().await?;
    let ends = testbed.observer.wait_for(&admins, accepted.version).await?;
    figures.insert("recovery.root-ms".into(), latest_ms(accepted.at, &ends));
    testbed.restart()?;
    testbed
        .observer
        .wait_for(&testbed.admins(), accepted.version)
        .await?;
    Ok(())
}

/// Kills a node if it runs.
fn kill(node: &mut Node) -> io::Result<()> {
    match node.process.take() {
        Some(mut process) => process.kill(),
        None => Ok(()),
    }
}

/// Returns a failure domain that holds neither a region root nor the fleet root.
async fn domain_without_higher_root(testbed: &Testbed) -> io::Result<id::Domain> {
    let roles = testbed.roles().await?;
    let nodes = testbed.fleet.nodes.iter();
    let is_higher_root = |role: &Role| matches!(role, Role::FleetRoot | Role::RegionRoot);
    let excluded: Vec<_> = nodes
        .clone()
        .zip(&roles)
        .filter(|(_, role)| is_higher_root(role))
        .map(|(node, _)| &node.locality.domain)
        .collect();
    let remaining = nodes
        .map(|node| &node.locality.domain)
        .rfind(|domain| !excluded.contains(domain));
    let missing = || io::Error::other("every failure domain holds a region root or the fleet root");
    remaining.cloned().ok_or_else(missing)
}

/// Returns the payload bytes sent between regions, as counted by the nodes outside `domain`, whose
/// counters are not reset by the restart.
async fn across_regions(testbed: &Testbed, domain: &id::Domain) -> io::Result<f64> {
    let mut across = 0;
    for node in &testbed.fleet.nodes {
        if node.locality.domain != *domain {
            across += Sample::take(node).await?.metrics.across_regions.get();
        }
    }
    Ok(across as f64)
}
