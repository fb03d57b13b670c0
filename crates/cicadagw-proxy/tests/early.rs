//! Backend servers that respond to a long request while it is still being sent: a whole response is
//! passed on, and one that is cut by a reset never looks complete.

mod support;

use std::net::SocketAddr;

use bytes::BytesMut;
use cicadagw_http::{Decoder, Step};
use support::early::{End, start};
use support::mesh::{Mesh, Node};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The size of a request body that does not fit into the buffers of the connections, in bytes.
const LONG_BODY_BYTES: usize = 16 << 20;

/// The number of concurrent calls: a node that is busy with others sees a response and the end of its
/// connection at once.
const CALLS: usize = 16;

/// The maximum size of a response head, in bytes.
const HEAD_BYTES_MAX: usize = 8 << 10;

/// The part of a body that is buffered by a node, and one that is longer than its buffer.
const PART_BYTES: [usize; 2] = [4, 400 << 10];

/// A response as the caller received it.
#[derive(Debug, Eq, PartialEq)]
struct Received {
    status: u16,
    body: Vec<u8>,
    is_whole: bool,
}

/// Two nodes; the backend server beside the second one responds with `response` and ends the
/// connection.
async fn fixture(response: Vec<u8>, end: End) -> [Node; 2] {
    let mut mesh = Mesh::new();
    let nodes = [mesh.node("near"), mesh.node("far")];
    let address = start(response, end).await;
    nodes[1].announce("orders-1", address, "ready").await;
    mesh.propagate(&nodes[1]).await;
    nodes
}

fn response(head: &str, body: &[u8]) -> Vec<u8> {
    [format!("HTTP/1.1 {head}\r\n\r\n").as_bytes(), body].concat()
}

/// Makes concurrent calls with long bodies; returns their responses.
async fn uploads(node: &Node) -> Vec<Option<Received>> {
    let calls: Vec<_> = (0..CALLS)
        .map(|_| tokio::spawn(upload(node.calls)))
        .collect();
    let mut received = Vec::new();
    for call in calls {
        received.push(call.await.unwrap());
    }
    received
}

/// Makes a call with a long body; returns the response, or `None` if the connection ended before
/// there was one.
async fn upload(node: SocketAddr) -> Option<Received> {
    let stream = TcpStream::connect(node).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let sending = tokio::spawn(async move {
        let head = format!(
            "POST /orders HTTP/1.1\r\nhost: shop.test\r\ncontent-length: {LONG_BODY_BYTES}\r\n\r\n"
        );
        // The node may close the connection before it has read the whole request.
        if writer.write_all(head.as_bytes()).await.is_ok() {
            writer.write_all(&vec![b'x'; LONG_BODY_BYTES]).await.ok();
        }
        writer
    });
    let mut received = Vec::new();
    // A cut response ends with a reset.
    reader.read_to_end(&mut received).await.ok();
    drop(sending.await.unwrap());
    parse(&received)
}

fn parse(bytes: &[u8]) -> Option<Received> {
    let mut rest = BytesMut::from(bytes);
    let head = cicadagw_http::response(&mut rest, b"POST", HEAD_BYTES_MAX).unwrap()?;
    let mut decoder = Decoder::new(head.framing);
    let mut body = Vec::new();
    let last = loop {
        match decoder.step(&mut rest).unwrap() {
            Step::Data(data) => body.extend_from_slice(&data),
            step => break step,
        }
    };
    Some(Received {
        status: head.status,
        body,
        is_whole: last == Step::Done,
    })
}

// Guards against a response without a length whose connection is reset while the request is still
// being sent: what had arrived of it was passed on as the whole response.
#[tokio::test]
async fn response_without_length_that_is_reset_never_looks_whole() {
    for part in PART_BYTES {
        let nodes = fixture(response("200 OK", &vec![b'p'; part]), End::Reset).await;
        for node in &nodes {
            let received = uploads(node).await;

            let is_whole_success = |received: &&Option<Received>| {
                let received = received.as_ref();
                received.is_some_and(|received| received.status == 200 && received.is_whole)
            };
            let whole = received.iter().filter(is_whole_success).count();
            assert_eq!(whole, 0, "{part} bytes");
        }
    }
}

#[tokio::test]
async fn whole_response_to_a_long_request_is_passed_on() {
    let chunks = b"4\r\npart\r\n0\r\n\r\n";
    let cases = [
        (
            "413 Too Long\r\ncontent-length: 4",
            &b"part"[..],
            End::Close,
        ),
        (
            "413 Too Long\r\ncontent-length: 4",
            b"part",
            End::CloseThenReset,
        ),
        (
            "413 Too Long\r\ntransfer-encoding: chunked",
            chunks,
            End::CloseThenReset,
        ),
        ("413 Too Long", b"part", End::Close),
        ("413 Too Long", b"part", End::CloseThenReset),
    ];
    for (head, body, end) in cases {
        let nodes = fixture(response(head, body), end).await;
        for node in &nodes {
            let received = uploads(node).await;

            let whole = Received {
                status: 413,
                body: b"part".to_vec(),
                is_whole: true,
            };
            for received in received {
                assert_eq!(received.as_ref(), Some(&whole), "{head} {end:?}");
            }
        }
    }
}
