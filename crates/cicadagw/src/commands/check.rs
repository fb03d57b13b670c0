//! The subcommand `cicadagw check`.

use std::path::Path;

use super::Error;
use super::read::read_settings;

/// Checks the settings file at `path`, and prints the node that it is for if it is valid.
pub(crate) fn check(path: &Path) -> Result<(), Error> {
    let settings = read_settings(path)?;
    anstream::println!(
        "{}: the settings of node {} are valid",
        path.display(),
        settings.node
    );
    Ok(())
}
