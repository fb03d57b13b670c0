//! Declared configurations in files.

use std::path::Path;

use cicadagw_config::{Config, load};
use serde_json::json;

use crate::{Answer, Exit, Failure};

/// Reads and checks the configuration in `path`.
///
/// # Errors
///
/// When the file cannot be read, or with all findings.
pub fn read(path: &Path) -> Result<Config, Failure> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        Failure::new(
            Exit::Refused,
            format!("cannot read `{name}`: {error}"),
            "give the path of a file with a configuration in JSON with comments",
        )
    })?;
    load(&name, &text).map_err(|findings| Failure::found(findings, text))
}

/// Checks the configuration in `path`, without the platform.
///
/// # Errors
///
/// As [`read`].
pub fn check(path: &Path) -> Result<Answer, Failure> {
    let config = read(path)?;
    let counts = json!({
        "clusters": config.clusters.len(),
        "policies": config.policies.len(),
        "presets": config.presets.len(),
        "routes": config.routes.len(),
        "secrets": config.secrets.len(),
    });
    let text = format!(
        "{}: good, with {} route(s), {} cluster(s), {} policy(ies), {} preset(s), {} secret(s)",
        path.display(),
        config.routes.len(),
        config.clusters.len(),
        config.policies.len(),
        config.presets.len(),
        config.secrets.len(),
    );
    Ok(Answer { json: counts, text })
}
