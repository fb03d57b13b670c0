//! Recovery after the death of a failure domain, and of the root of all.

use std::io;
use std::time::{Duration, Instant};

use cicadagw_unit::id;
use tokio::time::sleep;

use super::converge::last_ms;
use super::figures::Figures;
use super::role::Role;
use super::sample::Sample;
use super::stage::Stage;
use crate::process::Node;

/// How long after the root's death a change is accepted.
const PAUSE: Duration = Duration::from_millis(200);

/// Kills all nodes of a failure domain without a higher root, and starts them again.
pub(crate) async fn domain(stage: &mut Stage, figures: &mut Figures) -> io::Result<()> {
    let domain = ordinary_domain(stage).await?;
    let load = stage.platform.load().await?;
    let across = across(stage, &domain).await?;
    for node in &mut stage.fleet.nodes {
        if node.locality.domain == domain {
            kill(node)?;
        }
    }
    let start = Instant::now();
    stage.restart()?;
    let version = stage.operator.version();
    let of_domain = |node: &&Node| node.locality.domain == domain;
    let nodes = stage.fleet.nodes.iter().filter(of_domain);
    let admins: Vec<_> = nodes.map(|node| node.admin).collect();
    let ends = stage.observer.until(&admins, version).await?;
    let calls = stage.platform.load().await?.since(&load).calls;
    let crossed = self::across(stage, &domain).await? - across;
    figures.insert("recovery.domain-ms".into(), last_ms(start, &ends));
    figures.insert("recovery.domain-nodes".into(), admins.len() as f64);
    figures.insert("recovery.domain-platform-calls".into(), calls as f64);
    figures.insert("recovery.domain-across-regions-payload-B".into(), crossed);
    Ok(())
}

/// Kills the root of all and accepts a change a moment later.
pub(crate) async fn root(stage: &mut Stage, figures: &mut Figures) -> io::Result<()> {
    let roles = stage.roles().await?;
    let root = roles.iter().position(|role| *role == Role::FleetRoot);
    let root = root.ok_or_else(|| io::Error::other("no node is the root of all"))?;
    let mut admins = stage.admins();
    admins.remove(root);
    kill(&mut stage.fleet.nodes[root])?;
    sleep(PAUSE).await;
    let accepted = stage.operator.change().await?;
    let ends = stage.observer.until(&admins, accepted.version).await?;
    figures.insert("recovery.root-ms".into(), last_ms(accepted.at, &ends));
    stage.restart()?;
    stage
        .observer
        .until(&stage.admins(), accepted.version)
        .await?;
    Ok(())
}

fn kill(node: &mut Node) -> io::Result<()> {
    match node.process.take() {
        Some(mut process) => process.kill(),
        None => Ok(()),
    }
}

/// Returns a failure domain without the root of a region.
async fn ordinary_domain(stage: &Stage) -> io::Result<id::Domain> {
    let roles = stage.roles().await?;
    let nodes = stage.fleet.nodes.iter();
    let high = |role: &Role| matches!(role, Role::FleetRoot | Role::RegionRoot);
    let with_high: Vec<_> = nodes
        .clone()
        .zip(&roles)
        .filter(|(_, role)| high(role))
        .map(|(node, _)| &node.locality.domain)
        .collect();
    let ordinary = nodes
        .map(|node| &node.locality.domain)
        .rfind(|domain| !with_high.contains(domain));
    let missing = || io::Error::other("every failure domain holds the root of a region");
    ordinary.cloned().ok_or_else(missing)
}

/// Returns the bytes that crossed the link between regions, as nodes outside `domain` counted.
async fn across(stage: &Stage, domain: &id::Domain) -> io::Result<f64> {
    let mut across = 0;
    for node in &stage.fleet.nodes {
        if node.locality.domain != *domain {
            across += Sample::take(node).await?.meters.across_regions.get();
        }
    }
    Ok(across as f64)
}
