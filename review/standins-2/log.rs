//! The reader of the nodes' logs stops reading: the pipe that is a node's standard output fills.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{Route, document};
use crate::instance::steady;
use crate::site::{Site, Verdict};

/// The `timeout` of the route of the requests that count.
const TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long after the `timeout` an answer may take.
const SLACK: Duration = Duration::from_millis(500);

/// How long requests are sent, and the pause between two of a client.
const SENDING: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(150);

/// Requests to a path, and how many of them are unanswered at their route's `timeout` and later.
#[derive(Default)]
struct Count {
    sent: AtomicUsize,
    at_timeout: AtomicUsize,
    after_slack: AtomicUsize,
}

/// A node writes its log to a pipe that is not read: rule CONFIG, requests held past `timeout`.
pub fn unread(case: &Path, has_trouble: bool) -> Verdict {
    let mut site = Site::new();
    let catalogue = Route::new("catalogue", "fixed.example", "idempotent", "catalogue");
    let orders = Route {
        prefix: "/orders/",
        ..Route::new("orders", "fixed.example", "non_idempotent", "orders")
    };
    let first = document(10, &["catalogue", "orders"], &[catalogue, orders], None);
    site.store.write("config", "main", &first);
    site.start_nodes(
        &["catalogue", "catalogue", "orders", "orders"],
        "\"rollouts\": false,",
        260,
    );
    for index in 0..4 {
        let work = steady(Duration::from_millis(10));
        site.start_instance(index, &format!("i-{index}"), work);
    }
    if !site.is_up() {
        return site.finish(case, Verdict::CouldNotRun);
    }
    if has_trouble {
        for node in &site.nodes {
            node.is_unread.store(true, Ordering::SeqCst);
        }
        site.record
            .note("the reader of the logs of all nodes stops reading");
    }
    let count = Count::default();
    let until = Instant::now() + SENDING;
    thread::scope(|scope| {
        for node in &site.nodes {
            // Ordinary requests, and requests for a host that no configuration ever had.
            for kind in ["proper", "proper", "unknown", "unknown"] {
                let (site, count) = (&site, &count);
                scope.spawn(move || {
                    while Instant::now() < until {
                        send(site, node.outbound, kind, count);
                        thread::sleep(PAUSE);
                    }
                });
            }
        }
    });
    let [sent, at_timeout, after_slack] = [&count.sent, &count.at_timeout, &count.after_slack]
        .map(|count| count.load(Ordering::SeqCst));
    site.record.note(&format!(
        "{sent} proper requests; unanswered at the route's timeout {at_timeout}, half a second later {after_slack}"
    ));
    let verdict = match (sent, at_timeout) {
        (0, _) => Verdict::CouldNotRun,
        _ if after_slack * 2 > at_timeout => Verdict::Broken,
        _ => Verdict::Held,
    };
    site.finish(case, verdict)
}

fn send(site: &Site, to: std::net::SocketAddr, kind: &str, count: &Count) {
    let id = site.id(kind);
    let host = match kind {
        "proper" => "fixed",
        _ => "never-there",
    };
    let head = format!("GET /a HTTP/1.1\r\nHost: {host}.example\r\n");
    let begin = Instant::now();
    let answer = site.request(to, &id, &head, b"");
    let taken = begin.elapsed();
    if kind != "proper" {
        return;
    }
    count.sent.fetch_add(1, Ordering::SeqCst);
    // A connection that ends early is an end, though no answer.
    let is_late = |bound| taken > bound;
    if is_late(TIMEOUT) {
        count.at_timeout.fetch_add(1, Ordering::SeqCst);
    }
    if is_late(TIMEOUT + SLACK) && answer.is_none() {
        count.after_slack.fetch_add(1, Ordering::SeqCst);
    }
}
