//! The stand-ins of the review's scripts, and the cases that they play.
//!
//! Usage: `standins CASE FOLDER`. The case writes `record.txt` into the folder. Exit codes: 0 if the
//! rule held, 1 if it was broken, 2 if the case could not run. With `TROUBLE=0` in the environment
//! the case leaves its disruption out.

mod deployment;
mod endless;
mod http;
mod instance;
mod json;
mod leaving;
mod node;
mod pipeline;
mod record;
mod replaced;
mod store;
mod upload;

use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(115);

/// The verdict of a case: whether the rule held, and a line that says what was seen.
pub struct Verdict {
    pub held: bool,
    pub seen: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    };
    let record = Record::new(Path::new(folder));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let watch = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watch.add("the case took too long");
        watch.write();
        node::end_all();
        exit(2);
    });
    let outcome = match case.as_str() {
        "pipeline" => pipeline::run(&record, &trouble),
        "leaving" => leaving::run(&record, &trouble),
        "endless" => endless::run(&record, &trouble),
        "upload" => upload::run(&record, &trouble),
        "replaced" => replaced::run(&record, &trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    node::end_all();
    let code = match outcome {
        Ok(Verdict { held, seen }) => {
            let verdict = if held { "HELD" } else { "BROKEN" };
            record.add(format!("VERDICT {verdict}: {seen}"));
            println!("{verdict}: {seen}");
            i32::from(!held)
        }
        Err(error) => {
            record.add(format!("VERDICT could not run: {error}"));
            println!("could not run: {error}");
            2
        }
    };
    record.write();
    exit(code);
}
