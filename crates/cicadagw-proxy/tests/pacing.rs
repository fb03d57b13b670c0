//! Large responses that share the link of a host.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use cicadagw_unit::rate::Throughput;
use support::backend::Received;
use support::caller::get;
use support::mesh::Mesh;
use support::scripted::Scripted;
use tokio::time::Instant;

/// The throughput of the link, in bytes per second.
const LINK_RATE: u64 = 1_000_000;

/// The length of each response, in bytes.
const BODY_BYTES: usize = 192 << 10;

/// The number of concurrent responses; together they take over a second.
const CALLS: usize = 6;

/// Responds in chunks, so that the head does not state the length.
#[expect(clippy::unnecessary_wraps, reason = "it has the type of a script")]
fn in_chunks(_: &Received) -> Option<String> {
    let body = "x".repeat(BODY_BYTES);
    Some(format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{body}\r\n0\r\n\r\n"
    ))
}

/// Makes a call and returns how long its response took.
async fn download(node: SocketAddr) -> Duration {
    let begin = Instant::now();
    let response = get("/orders").send(node).await;
    assert_eq!(response.body.map(|body| body.len()), Some(BODY_BYTES));
    begin.elapsed()
}

// Guards against responses of unknown length that hold each other up part by part, so that all of
// them end with the last one.
#[tokio::test]
async fn responses_of_unknown_length_follow_one_another() {
    let mut mesh = Mesh::new();
    mesh.set_link_rate(Throughput::new(LINK_RATE));
    let node = mesh.node("near");
    let backend = Scripted::start(in_chunks).await;
    node.announce("orders-1", backend.address, "ready").await;
    mesh.propagate(&node).await;

    let calls: Vec<_> = (0..CALLS)
        .map(|_| tokio::spawn(download(node.calls)))
        .collect();
    let mut times = Vec::new();
    for call in calls {
        times.push(call.await.unwrap());
    }

    times.sort();
    assert!(times[0] < times[CALLS - 1] / 2, "{times:?}");
}
