//! The subcommands of `cicadagw`.

mod check;
mod error;
mod exit;
mod read;
mod reload;
mod run;
mod settings;
mod signals;

pub(crate) use check::check;
pub(crate) use error::Error;
pub(crate) use exit::Exit;
pub(crate) use run::run;
