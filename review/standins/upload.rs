//! Requests with long bodies, at which an instance works before it reads on, and a planned stop of
//! the node that took them.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Deployment, Route};
use crate::http::{End, exchange};
use crate::instance::{Answer, Instance, Run};
use crate::node::{Place, SIGTERM};
use crate::record::Record;

/// How long the instance works at a request before it reads the rest of the body.
const WORK: Duration = Duration::from_millis(1_000);

const BODY_BYTES: usize = 300_000;

const CLIENTS: u64 = 4;

const TIMEOUT: Duration = Duration::from_millis(3_500);
const DEADLINE: Duration = Duration::from_millis(4_000);

/// From the bounds of the deployment.
const GRACE: Duration = Duration::from_secs(6);

/// How long clients go on after the signal: two missed readiness checks, a second apart, end it.
const WORK_AFTER_SIGNAL: Duration = Duration::from_millis(1_800);

/// A request as its client sees it.
struct Seen {
    id: String,
    sent: Duration,
    ended: Duration,
    end: End,
}

pub fn run(record: &Record, trouble: &str) -> io::Result<Verdict> {
    let deployment = Deployment::start(record)?;
    let route = Route {
        name: "r-record",
        host: "registry.example",
        prefix: "/record/",
        kind: "non_idempotent",
        timeout: "3500ms",
        latency: "600ms",
        service: "registry",
    };
    deployment.configure(3, &["lookup", "registry"], &[route]);
    let place = |name, service| Place {
        name,
        service,
        zone: "casa-ain",
        region: "casa",
        link: "1000Mbit/s",
        is_late: false,
    };
    let mut caller = deployment.node(&place("sidecar-casa-ain-1", "lookup"))?;
    let other = deployment.node(&place("sidecar-casa-ain-2", "registry"))?;
    let work = Box::new(|_: &Run| (WORK, Answer::Whole(400)));
    let named = ("i-registry-1", "registry", "casa-ain");
    let instance = Instance::start(named, other.announce, record, work)?;
    thread::sleep(Duration::from_secs(2));

    let is_over = Arc::new(AtomicBool::new(false));
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (is_over, record, seen) = (is_over.clone(), record.clone(), seen.clone());
            let calls = caller.calls;
            thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("c{number}-{count}");
                    let mut message = format!(
                        "POST /record/2f HTTP/1.1\r\nHost: registry.example\r\nCicadagw-Attempt-Id: {id}\r\nCicadagw-Deadline-Ms: {}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
                        DEADLINE.as_millis()
                    )
                    .into_bytes();
                    message.extend(std::iter::repeat_n(b'b', BODY_BYTES));
                    let sent = record.add(format!("CLIENT sends {id}"));
                    let end = exchange(calls, &message, DEADLINE);
                    let text = match &end {
                        End::Answered(head) => {
                            let seal = head.get("Cicadagw-Response-Seal");
                            let by = if seal.is_some() { "the instance" } else { "the node" };
                            format!("{} of {by}", head.status())
                        }
                        End::Failed(why) => why.clone(),
                    };
                    let ended = record.add(format!("CLIENT {id}: {text}"));
                    seen.lock().unwrap().push(Seen {
                        id,
                        sent,
                        ended,
                        end,
                    });
                    thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let signalled = record.now();
    if trouble != "0" {
        caller.signal(SIGTERM);
    }
    thread::sleep(WORK_AFTER_SIGNAL);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok();
    }
    if trouble != "0" {
        caller.wait(GRACE + Duration::from_secs(1));
    }

    let runs = instance.runs();
    // The last sixth of the grace time is excused.
    let until = signalled + GRACE * 5 / 6;
    let seen = seen.lock().unwrap();
    let mut broken = Vec::new();
    let mut others = 0;
    for request in seen.iter() {
        let is_served = matches!(&request.end, End::Answered(head) if head.get("Cicadagw-Response-Seal").is_some());
        let is_running = runs.iter().find(|run| run.id == request.id);
        let Some(run) = is_running.filter(|_| !is_served) else {
            continue;
        };
        let is_at_work = request.ended < run.at + WORK;
        let has_time = request.ended < request.sent + TIMEOUT.min(DEADLINE);
        if !is_at_work || !has_time {
            continue;
        }
        let is_planned = trouble != "0" && (signalled..until).contains(&request.ended);
        record.add(format!(
            "CHECK {}: sent at {:.3}, run from {:.3}, ended at {:.3} while the instance was at work{}",
            request.id,
            request.sent.as_secs_f64(),
            run.at.as_secs_f64(),
            request.ended.as_secs_f64(),
            if is_planned { ", after SIGTERM" } else { "" }
        ));
        if is_planned {
            broken.push(request.id.clone());
        } else {
            others += 1;
        }
    }
    let text = format!(
        "{} requests, {} broken off after SIGTERM while their instance was at work, well before their time ({}); {others} others",
        seen.len(),
        broken.len(),
        broken.join(" ")
    );
    Ok(Verdict {
        held: broken.is_empty(),
        seen: text,
    })
}
