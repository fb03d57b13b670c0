//! Backend servers in trouble that send bytes which are no valid response: callers never get them as
//! a response, at the node beside the backend server and at another one.

mod support;

use std::sync::Arc;

use support::backend::Received;
use support::caller::{Response, call, post};
use support::mesh::{Mesh, Node};
use support::scripted::{Scripted, response, sealed};
use support::strict::Strict;

/// The header of a request that holds the bytes of the response to it, as decimal numbers.
const RESPONSE: &str = "x-response";

/// A complete stale response.
const STALE: &str = "HTTP/1.1 200 OK\r\nt-id: old\r\nt-seal: s\r\ncontent-length: 5\r\n\r\nstale";

const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";

/// The header lines of a success response that meets the requirements of the dialect.
const SEALED: &str = "t-id: a1\r\nt-seal: s\r\n";

/// The header line of a node for a response of a backend server.
const ANSWERED: &str = "x-cicadagw-outcome: answered\r\n";

/// Blanks and control bytes, which a field name must not contain.
const INVALID_IN_NAME: [char; 8] = [' ', '\t', '\0', '\x01', '\n', '\r', '\x1f', '\x7f'];

/// Two nodes with the strict dialect; the backend server is beside the second one.
async fn fixture() -> ([Node; 2], Scripted) {
    let mut mesh = Mesh::new();
    mesh.set_dialect(Arc::new(Strict));
    let nodes = [mesh.node("near"), mesh.node("far")];
    let backend = Scripted::start(as_requested).await;
    nodes[1]
        .announce("orders-1", backend.address, "ready")
        .await;
    mesh.propagate(&nodes[1]).await;
    (nodes, backend)
}

/// A node with the strict dialect that passes calls on to another node, in whose place a server
/// responds as requested.
async fn node_fixture() -> (Node, Scripted) {
    let mut mesh = Mesh::new();
    mesh.set_dialect(Arc::new(Strict));
    let node = mesh.node("near");
    let other = Scripted::start(as_requested).await;
    mesh.add_endpoint("orders-1", "kochi", other.address);
    (node, other)
}

/// Responds with the bytes that the request holds, or else as usual.
fn as_requested(request: &Received) -> Option<String> {
    let Some(numbers) = request.headers.get(RESPONSE) else {
        return sealed(request);
    };
    let bytes = numbers.split(',').map(|number| number.parse().unwrap());
    Some(String::from_utf8(bytes.collect()).unwrap())
}

/// Returns field names that hold an invalid byte at their start, within or at their end.
fn invalid_names() -> impl Iterator<Item = String> {
    INVALID_IN_NAME.into_iter().flat_map(|byte| {
        [
            format!("{byte}bad"),
            format!("b{byte}ad"),
            format!("bad{byte}"),
        ]
    })
}

/// Returns a success response in chunks with the lines `trailers`.
fn chunked(head: &str, trailers: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{head}transfer-encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n{trailers}\r\n"
    )
}

/// Makes a call that is not idempotent, to which the backend server responds with `bytes`.
async fn order(node: &Node, bytes: &str) -> Response {
    let numbers: Vec<String> = bytes.bytes().map(|byte| byte.to_string()).collect();
    post("/orders", "x")
        .header("t-id", "a1")
        .header(RESPONSE, &numbers.join(","))
        .send(node.calls)
        .await
}

/// Makes a call to which the backend server responds as usual.
async fn usual_order(node: &Node) -> Response {
    post("/orders", "x")
        .header("t-id", "a2")
        .send(node.calls)
        .await
}

/// Checks that `broken` is lost for the caller, alone and after interim and stale responses, that
/// it is requested once, and that the next call is answered.
async fn assert_lost(broken: &str) {
    for before in ["", INTERIM, STALE] {
        let (nodes, backend) = fixture().await;
        let bytes = format!("{before}{broken}");
        for node in &nodes {
            let executed = backend.received().len();

            let lost = order(node, &bytes).await;
            let next = usual_order(node).await;

            let end = (lost.status, lost.outcome());
            assert_eq!(end, (502, "unknown"), "{bytes:?}");
            assert_eq!((next.status, next.text()), (200, "own"), "{bytes:?}");
            assert_eq!(backend.received().len(), executed + 2, "{bytes:?}");
        }
    }
}

/// Checks that `broken` is lost for the caller if another node sends it.
async fn assert_lost_from_node(broken: &str) {
    for before in ["", INTERIM] {
        let (node, other) = node_fixture().await;

        let lost = order(&node, &format!("{before}{broken}")).await;

        let end = (lost.status, lost.outcome());
        assert_eq!(end, (502, "unknown"), "{before}{broken}");
        assert_eq!(other.received().len(), 1);
    }
}

// Guards against a status code that is not one of the protocol: it was passed on.
#[tokio::test]
async fn response_with_status_below_100_is_lost() {
    for status in ["000", "099"] {
        assert_lost(&response(status, SEALED, "own")).await;
        assert_lost_from_node(&response(status, ANSWERED, "own")).await;
    }
}

#[tokio::test]
async fn interim_response_with_status_below_100_is_lost() {
    assert_lost(&(INTERIM.replace("102", "000") + &response("200 OK", SEALED, "own"))).await;
}

#[tokio::test]
async fn stale_response_with_status_below_100_is_lost() {
    assert_lost(&(STALE.replace("200", "000") + &response("200 OK", SEALED, "own"))).await;
}

// Guards against a field line that is no field: it was passed on, or the head ended before it.
#[tokio::test]
async fn response_with_invalid_field_name_is_lost() {
    for name in invalid_names() {
        let line = format!("{name}: value\r\n");
        for head in [SEALED.to_owned() + &line, line + SEALED] {
            assert_lost(&response("200 OK", &head, "own")).await;
        }
    }
}

#[tokio::test]
async fn response_of_a_node_with_invalid_field_name_is_lost() {
    for name in invalid_names() {
        let head = format!("{ANSWERED}{name}: value\r\n");
        assert_lost_from_node(&response("200 OK", &head, "own")).await;
    }
}

#[tokio::test]
async fn interim_or_stale_response_with_invalid_field_name_is_lost() {
    let whole = response("200 OK", SEALED, "own");
    for name in invalid_names() {
        for before in [INTERIM, STALE] {
            let line = format!("\r\n{name}: value\r\n\r\n");
            assert_lost(&(before.replacen("\r\n\r\n", &line, 1) + &whole)).await;
        }
    }
}

// Guards against lines after the last chunk that are no fields: the body was taken for complete.
#[tokio::test]
async fn response_with_invalid_trailer_is_lost() {
    for name in invalid_names() {
        assert_lost(&chunked(SEALED, &format!("{name}: value\r\n"))).await;
    }
    assert_lost(&chunked(SEALED, "garbage\r\n")).await;
}

#[tokio::test]
async fn response_of_a_node_with_invalid_trailer_is_lost() {
    for name in invalid_names() {
        assert_lost_from_node(&chunked(ANSWERED, &format!("{name}: value\r\n"))).await;
    }
}

#[tokio::test]
async fn response_after_a_stale_one_with_invalid_trailer_is_lost() {
    let whole = response("200 OK", SEALED, "own");
    for name in invalid_names() {
        let trailers = format!("{name}: value\r\n");
        assert_lost(&(chunked("t-id: old\r\nt-seal: s\r\n", &trailers) + &whole)).await;
    }
}

// Guards against a body that breaks off in other bytes: a line that starts like a chunk extension was
// taken for the last chunk.
#[tokio::test]
async fn response_with_chunk_size_without_a_digit_is_lost() {
    for line in ["", ";", ";0", " "] {
        let broken = |head| chunked(head, "").replace("\r\n0\r\n", &format!("\r\n{line}\r\n"));
        assert_lost(&broken(SEALED)).await;
        assert_lost_from_node(&broken(ANSWERED)).await;
        let stale = broken("t-id: old\r\nt-seal: s\r\n");
        assert_lost(&(stale + &response("200 OK", SEALED, "own"))).await;
    }
}

#[tokio::test]
async fn request_with_invalid_trailer_is_refused() {
    let (nodes, backend) = fixture().await;
    let request = call("POST", "/orders")
        .header("t-id", "a1")
        .header("transfer-encoding", "chunked")
        .raw_body(b"1\r\nx\r\n0\r\nbad name: value\r\n\r\n");

    let refused = request.send(nodes[0].calls).await;

    assert_eq!((refused.status, refused.outcome()), (400, "not-run"));
    assert!(backend.received().is_empty());
}

#[tokio::test]
async fn response_with_trailers_is_passed_on() {
    let (nodes, _backend) = fixture().await;
    let bytes = chunked(SEALED, "one: value\r\ntwo:\r\n");
    for node in &nodes {
        let answered = order(node, &bytes).await;

        assert_eq!((answered.status, answered.text()), (200, "own"));
    }
}

#[tokio::test]
async fn whole_response_of_any_other_status_is_passed_on() {
    let (nodes, _backend) = fixture().await;
    for status in [200, 299, 404, 418, 500, 599, 600, 999] {
        for before in ["", INTERIM, STALE] {
            let bytes = before.to_owned() + &response(&format!("{status} "), SEALED, "own");
            for node in &nodes {
                let answered = order(node, &bytes).await;

                assert_eq!((answered.status, answered.text()), (status, "own"));
            }
        }
    }
}

// Guards against a response whose length is ambiguous: HTTP/1.0 has no transfer codings (RFC 9112,
// section 6.1).
#[tokio::test]
async fn response_of_http_1_0_in_chunks_is_lost() {
    assert_lost(&chunked(SEALED, "").replace("HTTP/1.1", "HTTP/1.0")).await;
    assert_lost_from_node(&chunked(ANSWERED, "").replace("HTTP/1.1", "HTTP/1.0")).await;
}
