//! `cicadagw check`.

use std::path::Path;

use super::Error;
use super::read::read;

/// Checks the settings at `path`.
pub(crate) fn check(path: &Path) -> Result<(), Error> {
    let settings = read(path)?;
    anstream::println!(
        "{}: good settings of node {}",
        path.display(),
        settings.node
    );
    Ok(())
}
