//! All processes are killed right after one of them has acknowledged that an instance is gone. A
//! heartbeat that the instance sent before arrives late, when they run again.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{Route, document};
use crate::instance::{post, steady};
use crate::site::{Site, Verdict};

/// `contact` of kalavara-mesh.
const CONTACT: Duration = Duration::from_millis(4_000);

/// How long after the acknowledgement the processes are killed, and for how long.
const KILLED_AFTER: Duration = Duration::from_millis(20);
const DOWN: Duration = Duration::from_millis(500);

/// How long after the restart the heartbeat arrives.
const LATE: Duration = Duration::from_millis(2_100);

/// Requests are judged from here on, after the acknowledgement: `drain` (2.5 s) is over, and the
/// machines are in touch again. The instance exits at the end.
const JUDGED: Duration = Duration::from_millis(7_500);
const EXIT: Duration = Duration::from_millis(14_000);

const PAUSE: Duration = Duration::from_millis(100);

/// An instance that has left gets requests again: rule DRAIN.
pub fn departed(case: &Path, has_trouble: bool) -> Verdict {
    let mut site = Site::new();
    let route = Route::new("catalogue", "fixed.example", "idempotent", "catalogue");
    let first = document(10, &["catalogue", "orders"], &[route], None);
    site.store.write("config", "main", &first);
    let services = [
        "catalogue",
        "catalogue",
        "catalogue",
        "orders",
        "orders",
        "orders",
    ];
    site.start_nodes(&services, "\"rollouts\": false,", 260);
    for index in 0..services.len() {
        let work = steady(Duration::from_millis(10));
        site.start_instance(index, &format!("i-{index}"), work);
    }
    if !site.is_up() {
        return site.finish(case, Verdict::CouldNotRun);
    }
    thread::sleep(CONTACT);
    let leaving = site.instances[0].clone();
    let control = site.nodes[0].control;
    leaving.fall_silent();
    let late = leaving.next_beat();
    let status = post(control, &leaving.id, "deregister", &leaving.next_beat());
    let acknowledged = Instant::now();
    site.record.note(&format!(
        "{} deregisters, and serves on for {EXIT:?}: {status:?}",
        leaving.id
    ));
    if status != Some(200) {
        return site.finish(case, Verdict::CouldNotRun);
    }
    if has_trouble {
        thread::sleep(KILLED_AFTER);
        for node in &mut site.nodes {
            node.kill();
        }
        site.record.note(&format!(
            "all nodes have been killed, the last one {} ms after that",
            acknowledged.elapsed().as_millis()
        ));
        thread::sleep(DOWN);
        for node in &mut site.nodes {
            node.start();
        }
        site.record.note("all nodes are started again");
    } else {
        thread::sleep(KILLED_AFTER + DOWN);
    }
    thread::sleep(LATE);
    let status = post(control, &leaving.id, "heartbeat", &late);
    site.record.note(&format!(
        "a heartbeat that {} sent before it deregistered arrives: {status:?}",
        leaving.id
    ));
    thread::sleep(JUDGED.saturating_sub(acknowledged.elapsed()));
    let (mut sent, mut served, mut reached) = (0, 0, 0);
    while acknowledged.elapsed() < EXIT {
        for node in &site.nodes[1..] {
            let id = site.id("read");
            let head = "GET /a HTTP/1.1\r\nHost: fixed.example\r\n";
            site.request(node.outbound, &id, head, b"");
            let runs = site.record.runs(&id);
            sent += 1;
            served += runs.len();
            reached += runs.iter().filter(|run| run.instance == leaving.id).count();
        }
        thread::sleep(PAUSE);
    }
    site.record.note(&format!(
        "{sent} requests sent {:.1} s after the acknowledgement and later; {reached} run by {}",
        JUDGED.as_secs_f64(),
        leaving.id
    ));
    let verdict = match (served, reached) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    };
    site.finish(case, verdict)
}
