//! The command `measure fleet`.

use std::io;

use cicadagw_dev::http::block_on;
use cicadagw_dev::measure::fleet::{self, Options};
use cicadagw_unit::time::Span;

use crate::flags::Fleet;

/// The default numbers of nodes.
const DEFAULT_SIZES: &str = "12,24,48,96";

/// Measures the fleet with the options of `flags`, and prints the report.
pub(crate) fn run(flags: &Fleet) -> io::Result<()> {
    let sizes = flags.sizes.as_deref().unwrap_or(DEFAULT_SIZES);
    let sizes: Result<_, _> = sizes.split(',').map(str::parse).collect();
    let options = Options::builder()
        .changes(flags.changes.unwrap_or(20))
        .domains(flags.domains.unwrap_or(4))
        .regions(flags.regions.unwrap_or(2))
        .services(flags.services.unwrap_or(150))
        .sizes(sizes.map_err(io::Error::other)?)
        .window(flags.window.unwrap_or(Span::seconds(20)))
        .build();
    let report = block_on(fleet::run(options, |phase| anstream::eprintln!("{phase}")))?;
    anstream::println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
