//! An instance leaves, its node is restarted, and a heartbeat of before arrives late.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Deployment, Route};
use crate::http::exchange;
use crate::instance::{Answer, Instance, Run};
use crate::node::{Place, SIGKILL};
use crate::record::Record;

/// From the bounds of the deployment.
const DRAIN: Duration = Duration::from_millis(2_500);
const CONTACT: Duration = Duration::from_secs(4);

/// How long the late heartbeat is on its way.
const LATE: Duration = Duration::from_secs(3);

/// How long the instance goes on serving after the acknowledgement.
const STAY: Duration = Duration::from_secs(14);

const DEADLINE: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record, trouble: &str) -> io::Result<Verdict> {
    let deployment = Deployment::start(record)?;
    let route = Route {
        name: "r-browse",
        host: "browse.example",
        prefix: "/browse/",
        kind: "idempotent",
        timeout: "800ms",
        latency: "400ms",
        service: "catalogue",
    };
    deployment.configure(3, &["catalogue", "orders"], &[route]);
    let place = |name, service, zone| Place {
        name,
        service,
        zone,
        region: "kochi",
        link: "1000Mbit/s",
        is_late: false,
    };
    let caller = deployment.node(&place("sidecar-kochi-a-1", "orders", "kochi-a"))?;
    let mut node = deployment.node(&place("sidecar-kochi-a-2", "catalogue", "kochi-a"))?;
    let other = deployment.node(&place("sidecar-kochi-b-1", "catalogue", "kochi-b"))?;
    let work = || Box::new(|_: &Run| (Duration::from_millis(30), Answer::Whole(1_500)));
    let named = ("i-leaving", "catalogue", "kochi-a");
    let leaving = Instance::start(named, node.announce, record, work())?;
    let named = ("i-staying", "catalogue", "kochi-b");
    let staying = Instance::start(named, other.announce, record, work())?;
    thread::sleep(Duration::from_secs(2));

    let is_over = Arc::new(AtomicBool::new(false));
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let (is_over, record, statuses) = (is_over.clone(), record.clone(), statuses.clone());
            let calls = caller.calls;
            thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("c{number}-{count}");
                    let message = format!(
                        "GET /browse/2f HTTP/1.1\r\nHost: browse.example\r\nCicadagw-Attempt-Id: {id}\r\nCicadagw-Deadline-Ms: {}\r\n\r\n",
                        DEADLINE.as_millis()
                    );
                    record.add(format!("CLIENT sends {id}"));
                    let end = exchange(calls, message.as_bytes(), DEADLINE);
                    record.add(format!("CLIENT {id}: {:?}", end.status()));
                    statuses.lock().unwrap().push(end.status());
                    thread::sleep(Duration::from_millis(70));
                }
            })
        })
        .collect();
    // A machine in touch acknowledges: it has run undisturbed for longer than `contact`.
    thread::sleep(CONTACT + Duration::from_secs(1));
    if leaving.runs().is_empty() {
        return Err(io::Error::other(
            "the leaving instance got no request before",
        ));
    }

    let is_late = matches!(trouble, "1" | "late");
    let is_killed = matches!(trouble, "1" | "kill");
    if is_late {
        leaving.send_late_heartbeat(LATE);
    }
    thread::sleep(Duration::from_millis(200));
    let Some(acknowledged) = leaving.deregister() else {
        return Err(io::Error::other("the leaving was not acknowledged"));
    };
    record.add("INSTANCE i-leaving has deregistered, acknowledged; it goes on serving");
    thread::sleep(Duration::from_millis(200));
    let mut restarted = Duration::ZERO;
    if is_killed {
        node.signal(SIGKILL);
        node.wait(Duration::from_secs(5));
        thread::sleep(Duration::from_millis(500));
        node.start()?;
        restarted = record.now();
    }
    let stays_until = acknowledged + STAY;
    thread::sleep(stays_until.saturating_sub(record.now()));
    leaving.exit();
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok();
    }

    // Only what reaches the instance while its node is in touch again counts.
    let counted_from = (acknowledged + DRAIN).max(restarted + CONTACT);
    let runs = leaving.runs();
    let late: Vec<_> = runs.iter().filter(|run| run.at > counted_from).collect();
    let statuses = statuses.lock().unwrap();
    let served = statuses.iter().filter(|status| **status == Some(200));
    let first = late
        .first()
        .map_or(0.0, |run| (run.at - acknowledged).as_secs_f64());
    let last = late
        .last()
        .map_or(0.0, |run| (run.at - acknowledged).as_secs_f64());
    let seen = format!(
        "{} requests, {} served; {} reached i-leaving more than {DRAIN:?} after its leaving was acknowledged, with all nodes in touch ({first:.2} s to {last:.2} s after it); i-staying ran {}",
        statuses.len(),
        served.count(),
        late.len(),
        staying.runs().len(),
    );
    Ok(Verdict {
        held: late.is_empty(),
        seen,
    })
}
