//! The cases of the review that are scripts: `cases NAME FOLDER`, with `TROUBLE=0` for the same run
//! without the disruption.

mod beat;
mod config;
mod drill;
mod http;
mod instance;
mod json;
mod leave;
mod log;
mod node;
mod record;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;

use site::Verdict;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let verdict = match name.as_str() {
        "moved" => drill::moved(folder, has_trouble),
        "revoked" => drill::revoked(folder, has_trouble),
        "unread" => log::unread(folder, has_trouble),
        "odd" => beat::odd(folder, has_trouble),
        "departed" => leave::departed(folder, has_trouble),
        _ => Verdict::CouldNotRun,
    };
    println!("{name}: {verdict:?}");
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    })
}
