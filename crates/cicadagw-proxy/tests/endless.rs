//! Bytes without end, from backend servers, other nodes and callers: what a node keeps of them is
//! bounded. All cases are in one test, since they share the memory of one process.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::caller::get;
use support::endless::{Feed, serve};
use support::memory::growth;
use support::mesh::{Mesh, Node};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// How long each peer sends.
const FEED_TIME: Duration = Duration::from_millis(700);

/// By how much the memory of the process may grow, in bytes: some connections with their buffers,
/// and a response that is buffered.
const GROWTH_MAX: usize = 8 << 20;

/// How many calls are made at the same time.
const CALLS: usize = 4;

const LENGTH: &str =
    "HTTP/1.1 200 OK\r\nx-cicadagw-outcome: answered\r\ncontent-length: 1099511627776\r\n\r\n";
const SHORT_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nx-cicadagw-outcome: answered\r\ncontent-length: 250000\r\n\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nx-cicadagw-outcome: answered\r\ntransfer-encoding: chunked\r\n\r\n";
const EXTENSION: &str =
    "HTTP/1.1 200 OK\r\nx-cicadagw-outcome: answered\r\ntransfer-encoding: chunked\r\n\r\n1;";
const TRAILERS: &str =
    "HTTP/1.1 200 OK\r\nx-cicadagw-outcome: answered\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
const CLOSE: &str = "HTTP/1.1 200 OK\r\nx-cicadagw-outcome: answered\r\n\r\n";
const WHOLE: &str =
    "HTTP/1.1 200 OK\r\nx-cicadagw-outcome: answered\r\ncontent-length: 3\r\n\r\nown";

/// What a server sends in place of a response, or in it.
const RESPONSES: [Feed; 16] = [
    Feed::new("status line", "", "HTTP"),
    Feed::new("header field", "HTTP/1.1 200 OK\r\nfield: ", "more"),
    Feed::in_segments(
        "header field in segments",
        "HTTP/1.1 200 OK\r\nfield: ",
        "m",
    ),
    Feed::new("header fields", "HTTP/1.1 200 OK\r\n", "field: value\r\n"),
    Feed::new("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
    Feed::new("body with a length", LENGTH, "more"),
    Feed::in_segments("body with a length in segments", LENGTH, "m"),
    Feed::in_segments("body with a short length in segments", SHORT_LENGTH, "m"),
    Feed::new("chunks", CHUNKED, "4\r\nmore\r\n"),
    Feed::new("chunks of one byte", CHUNKED, "1\r\nm\r\n"),
    Feed::in_segments("chunks in segments", CHUNKED, "1\r\nm\r\n"),
    Feed::new("chunk extension", EXTENSION, "extension"),
    Feed::new("trailers", TRAILERS, "field: value\r\n"),
    Feed::new("body up to the close", CLOSE, "more"),
    Feed::in_segments("body up to the close in segments", CLOSE, "m"),
    Feed::new("bytes after a complete response", WHOLE, "more"),
];

const POST_LENGTH: &str = "POST /brief HTTP/1.1\r\nhost: a\r\ncontent-length: 60000000\r\n\r\n";
const POST_CHUNKED: &str = "POST /brief HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
const POST_EXTENSION: &str =
    "POST /brief HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1;";
const POST_TRAILERS: &str =
    "POST /brief HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";

/// What a client sends in place of a request, or in it.
const REQUESTS: [Feed; 10] = [
    Feed::new("request line", "", "GET"),
    Feed::new("header field", "GET /brief HTTP/1.1\r\nfield: ", "more"),
    Feed::new(
        "header fields",
        "GET /brief HTTP/1.1\r\n",
        "field: value\r\n",
    ),
    Feed::new(
        "pipelined requests",
        "",
        "GET /brief HTTP/1.1\r\nhost: a\r\n\r\n",
    ),
    Feed::new("body with a length", POST_LENGTH, "more"),
    Feed::in_segments("body with a length in segments", POST_LENGTH, "m"),
    Feed::new("chunks", POST_CHUNKED, "4\r\nmore\r\n"),
    Feed::in_segments("chunks in segments", POST_CHUNKED, "1\r\nm\r\n"),
    Feed::new("chunk extension", POST_EXTENSION, "extension"),
    Feed::new("trailers", POST_TRAILERS, "field: value\r\n"),
];

/// Makes calls at `node` whose callers read the responses or do not, and waits until they end or the
/// peer does.
async fn call(node: &Node, is_reading: bool) {
    let mut calls = JoinSet::new();
    for _ in 0..CALLS {
        calls.spawn(call_once(node.calls, is_reading));
    }
    calls.join_all().await;
}

async fn call_once(address: SocketAddr, is_reading: bool) {
    let mut stream = get("/brief").begin(address).await;
    let reading = async {
        let mut scratch = vec![0; 64 << 10];
        while matches!(stream.read(&mut scratch).await, Ok(1..)) {}
    };
    if is_reading {
        timeout(FEED_TIME, reading).await.ok();
    } else {
        sleep(FEED_TIME).await;
    }
}

/// Sends `feed` to `address`.
async fn send(feed: Feed, address: SocketAddr) {
    let stream = TcpStream::connect(address).await.unwrap();
    feed.send(stream, Instant::now() + FEED_TIME).await;
}

// Guards against a peer that fills the memory of the nodes that read from it: the process would be
// killed, and the calls of all others with it.
#[tokio::test]
async fn memory_is_bounded_whatever_a_peer_sends_without_end() {
    let mut grown = Vec::new();
    for feed in RESPONSES {
        for is_reading in [true, false] {
            let mut mesh = Mesh::new();
            let node = mesh.node("near");
            let address = serve(feed, FEED_TIME).await;
            node.announce("orders-1", address, "ready").await;
            mesh.propagate(&node).await;
            let growth = growth(call(&node, is_reading)).await;
            grown.push(("backend server", feed.what, is_reading, growth));
        }
        let mut mesh = Mesh::new();
        let node = mesh.node("near");
        mesh.add_endpoint("orders-1", "kochi", serve(feed, FEED_TIME).await);
        let growth = growth(call(&node, true)).await;
        grown.push(("node", feed.what, true, growth));
    }
    for feed in REQUESTS {
        let mut mesh = Mesh::new();
        let node = mesh.node("near");
        let address = serve(RESPONSES[5], FEED_TIME).await;
        node.announce("orders-1", address, "ready").await;
        mesh.propagate(&node).await;
        for address in [node.calls, node.announce] {
            let growth = growth(send(feed, address)).await;
            grown.push(("client", feed.what, true, growth));
        }
    }

    let excessive: Vec<_> = grown
        .iter()
        .filter(|(.., growth)| *growth > GROWTH_MAX)
        .collect();
    assert!(excessive.is_empty(), "{excessive:#?}");
}
