//! The node program: the proxy and the control plane of one host of backend servers, in one
//! process.

mod commands;
mod flags;

use flags::{Cicadagw, CicadagwCmd};

fn main() -> miette::Result<()> {
    if std::env::args().nth(1).as_deref() == Some("--version") {
        anstream::println!("cicadagw {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match Cicadagw::from_env_or_exit().subcommand {
        CicadagwCmd::Check(check) => commands::check(&check.settings)?,
        CicadagwCmd::Run(run) => commands::run(&run.settings)?,
        CicadagwCmd::Version(_) => anstream::println!("cicadagw {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(())
}
