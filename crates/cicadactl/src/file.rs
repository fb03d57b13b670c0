//! Configuration files, and the command that checks them.

use std::path::Path;

use cicadagw_config::{Config, load};
use serde_json::json;

use crate::{Exit, Failure, Output};

/// Reads and checks the configuration in `path`.
///
/// # Errors
///
/// Fails if the file cannot be read or has findings; the failure holds all of them.
pub fn read(path: &Path) -> Result<Config, Failure> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        Failure::new(
            Exit::Refused,
            format!("cannot read `{name}`: {error}"),
            "give the path of a configuration file in JSON with comments",
        )
    })?;
    load(&name, &text).map_err(|findings| Failure::with_findings(findings, text))
}

/// Checks the configuration in `path` without access to the platform, and counts its objects.
///
/// # Errors
///
/// Fails under the same conditions as [`read`].
pub fn check(path: &Path) -> Result<Output, Failure> {
    let config = read(path)?;
    let counts = json!({
        "clusters": config.clusters.len(),
        "policies": config.policies.len(),
        "presets": config.presets.len(),
        "routes": config.routes.len(),
        "secrets": config.secrets.len(),
    });
    let text = format!(
        "{}: valid, with {} route(s), {} cluster(s), {} policy(ies), {} preset(s), {} secret(s)",
        path.display(),
        config.routes.len(),
        config.clusters.len(),
        config.policies.len(),
        config.presets.len(),
        config.secrets.len(),
    );
    Ok(Output { json: counts, text })
}
