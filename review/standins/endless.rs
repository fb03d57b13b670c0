//! An instance in trouble answers with bytes that do not end, in a body whose head states a length.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, Route};
use crate::http::{Reader, open};
use crate::instance::{Answer, Instance, Run};
use crate::node::Place;
use crate::record::Record;

/// The route's `timeout`, and the deadline of its clients.
const TIMEOUT: Duration = Duration::from_millis(2_500);
const DEADLINE: Duration = Duration::from_millis(5_000);

/// How long after the route's `timeout` an answer is due.
const SLACK: Duration = Duration::from_millis(500);

/// How long the trouble lasts, and how many answers of the instance it affects.
const TROUBLE: Duration = Duration::from_secs(5);
const SHARE: usize = 20;

/// How a request ended for its client, and how long it took.
struct Seen {
    id: String,
    took: Duration,
}

pub fn run(record: &Record, trouble: &str) -> io::Result<Verdict> {
    let deployment = Deployment::start(record)?;
    let route = Route {
        name: "r-archive",
        host: "archive.example",
        prefix: "/archive/",
        kind: "idempotent",
        timeout: "2500ms",
        latency: "1200ms",
        service: "media",
    };
    deployment.configure(3, &["orders", "media"], &[route]);
    let place = |name, service, zone| Place {
        name,
        service,
        zone,
        region: "kochi",
        link: "1000Mbit/s",
        is_late: false,
    };
    let caller = deployment.node(&place("sidecar-kochi-a-1", "orders", "kochi-a"))?;
    let first = deployment.node(&place("sidecar-kochi-a-2", "media", "kochi-a"))?;
    let second = deployment.node(&place("sidecar-kochi-b-1", "media", "kochi-b"))?;
    let begin = Instant::now() + Duration::from_secs(4);
    let is_in_trouble = trouble != "0";
    let troubled = Box::new(move |run: &Run| {
        let now = Instant::now();
        let is_hit =
            is_in_trouble && (begin..begin + TROUBLE).contains(&now) && run.number % SHARE == 0;
        let answer = if is_hit {
            Answer::Endless
        } else {
            Answer::Whole(1_500)
        };
        (Duration::from_millis(40), answer)
    });
    let sound = Box::new(|_: &Run| (Duration::from_millis(40), Answer::Whole(1_500)));
    let named = ("i-troubled", "media", "kochi-a");
    let _troubled = Instance::start(named, first.announce, record, troubled)?;
    let named = ("i-sound", "media", "kochi-b");
    let _sound = Instance::start(named, second.announce, record, sound)?;
    thread::sleep(Duration::from_secs(2));

    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    // One request every 10 ms, from before the trouble until its end.
    for number in 0..800 {
        let (seen, record, calls) = (seen.clone(), record.clone(), caller.calls);
        clients.push(thread::spawn(move || {
            let request = send(&format!("c-{number}"), calls, &record);
            seen.lock().unwrap().push(request);
        }));
        thread::sleep(Duration::from_millis(10));
    }
    for client in clients {
        client.join().ok();
    }

    let seen = seen.lock().unwrap();
    let long: Vec<_> = seen.iter().filter(|seen| seen.took > TIMEOUT).collect();
    let late: Vec<_> = long
        .iter()
        .filter(|seen| seen.took > TIMEOUT + SLACK)
        .collect();
    for request in &late {
        record.add(format!(
            "CHECK {}: no final answer {SLACK:?} after the route's timeout; ended after {:.3} s",
            request.id,
            request.took.as_secs_f64()
        ));
    }
    let is_broken = late.len() >= 8 && late.len() * 2 > long.len();
    let text = format!(
        "{} requests, {} unanswered at their route's timeout, {} of these without a final answer {SLACK:?} later",
        seen.len(),
        long.len(),
        late.len()
    );
    Ok(Verdict {
        held: !is_broken,
        seen: text,
    })
}

/// Sends one request and waits for the end of its answer, at most until its deadline.
fn send(id: &str, node: SocketAddr, record: &Record) -> Seen {
    let begin = Instant::now();
    record.add(format!("CLIENT sends {id}"));
    let run = || -> io::Result<String> {
        let mut stream = open(node, DEADLINE)?;
        let message = format!(
            "GET /archive/2f HTTP/1.1\r\nHost: archive.example\r\nCicadagw-Attempt-Id: {id}\r\nCicadagw-Deadline-Ms: {}\r\n\r\n",
            DEADLINE.as_millis()
        );
        stream.write_all(message.as_bytes())?;
        let mut reader = Reader::new(stream);
        let Some(head) = reader.head()? else {
            return Ok("closed without a response".to_owned());
        };
        let length = head.number("content-length").unwrap_or(0);
        let mut received = reader.buffer.len() as u64;
        while received < length {
            reader.buffer.clear();
            if begin.elapsed() >= DEADLINE {
                return Ok(format!(
                    "left at its deadline after {received} bytes of {length}"
                ));
            }
            if !reader.fill()? {
                return Ok(format!("closed after {received} bytes of {length}"));
            }
            received += reader.buffer.len() as u64;
        }
        Ok(format!("{}, whole", head.status()))
    };
    let end = run().unwrap_or_else(|error| error.to_string());
    let took = begin.elapsed();
    record.add(format!(
        "CLIENT {id}: {end}, after {:.3} s",
        took.as_secs_f64()
    ));
    Seen {
        id: id.to_owned(),
        took,
    }
}
