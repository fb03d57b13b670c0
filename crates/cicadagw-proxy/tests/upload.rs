//! Requests with long bodies whose backend server works before it reads on.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::caller::{Call, call};
use support::late_reader;
use support::mesh::{Mesh, Node};
use tokio::time::sleep;

/// How long the backend server works: longer than bytes may stay unacknowledged on any link.
const WORK: Duration = Duration::from_millis(2_500);

/// Body lengths: one that fits into the receive windows of one link, and others that fill the buffers
/// of all links.
const BODY_BYTES: [usize; 3] = [30 << 10, 300 << 10, 4 << 20];

/// The idle time after which a connection no longer counts as alive, and a margin.
const IDLE: Duration = Duration::from_millis(200);

/// Two nodes; the backend server is beside the second one.
async fn fixture(work: Duration) -> [Node; 2] {
    let mut mesh = Mesh::new();
    let nodes = [mesh.node("near"), mesh.node("far")];
    let address = late_reader::start(work).await;
    nodes[1].announce("orders-1", address, "ready").await;
    mesh.propagate(&nodes[1]).await;
    nodes
}

fn with_length(body: &[u8]) -> Call {
    call("POST", "/orders")
        .header("content-length", &body.len().to_string())
        .raw_body(body)
}

fn in_chunks(body: &[u8]) -> Call {
    let chunk = |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    let mut chunks: Vec<u8> = body.chunks(16 << 10).flat_map(chunk).collect();
    chunks.extend_from_slice(b"0\r\n\r\n");
    call("POST", "/orders")
        .header("transfer-encoding", "chunked")
        .raw_body(&chunks)
}

// Guards against a backend server or a node that has no room for more bytes being taken for one that
// has fallen silent: the kernel's timeout for unacknowledged bytes counts while a window is full.
#[tokio::test]
async fn upload_waits_for_a_backend_server_that_works_before_it_reads_on() {
    for framing in [with_length, in_chunks] {
        let nodes = fixture(WORK).await;
        let mut calls = Vec::new();
        for node in &nodes {
            for length in BODY_BYTES {
                let call = framing(&vec![b'x'; length]);
                let address = node.calls;
                let sending = tokio::spawn(async move { call.send(address).await });
                calls.push((length, sending));
            }
        }

        for (length, sending) in calls {
            let response = sending.await.unwrap();

            assert_eq!(
                (response.status, response.text()),
                (200, &*length.to_string())
            );
        }
    }
}

/// Makes two calls with an idle time of `pause` between them; returns the statuses.
async fn upload_twice(node: SocketAddr, pause: Duration) -> [u16; 2] {
    let upload = || with_length(&vec![b'x'; 300 << 10]).send(node);
    let first = upload().await;
    sleep(pause).await;
    [first.status, upload().await.status]
}

#[tokio::test]
async fn uploads_on_reused_connections_wait_as_well() {
    let nodes = [fixture(WORK).await, fixture(WORK).await];

    let statuses = tokio::join!(
        upload_twice(nodes[0][0].calls, Duration::ZERO),
        upload_twice(nodes[0][1].calls, Duration::ZERO),
        upload_twice(nodes[1][0].calls, IDLE),
        upload_twice(nodes[1][1].calls, IDLE),
    );

    let answered = [200; 2];
    assert_eq!(statuses, (answered, answered, answered, answered));
}
