//! Response bodies that are still arriving at the deadline of their call.

mod support;

use std::time::{Duration, Instant};

use support::caller::{get, head};
use support::mesh::{Mesh, Node};
use support::trickle::{self, Plan, Trickle};
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

/// The timeout of the route `/brief`.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long after the timeout of its route a call may be without its final response.
const FINAL_RESPONSE_MAX: Duration = Duration::from_millis(500);

/// The time within which a call must end; far longer than it takes.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The minimum time between the head of a response and the deadline for the response to be in time.
const HEAD_MARGIN: Duration = Duration::from_millis(20);

/// The maximum number of calls until the head of a response is sent in time, on a busy machine.
const TRIES_MAX: usize = 20;

/// Returns two nodes; the backend server beside the second one responds according to `plan`.
async fn fixture(plan: Plan) -> [Node; 2] {
    fixture_with_backend(plan).await.0
}

/// As [`fixture`], with the backend server.
async fn fixture_with_backend(plan: Plan) -> ([Node; 2], Trickle) {
    let mut mesh = Mesh::new();
    let nodes = [mesh.node("near"), mesh.node("far")];
    let backend = trickle::start(plan).await;
    nodes[1]
        .announce("orders-1", backend.address, "ready")
        .await;
    mesh.propagate(&nodes[1]).await;
    (nodes, backend)
}

/// As [`call`], for a response whose head is due shortly before the deadline. A call counts only if the
/// backend server has sent the head in time, whatever came of it; else another one is made.
async fn call_answered_in_time(node: &Node, backend: &Trickle) -> (u16, Option<u64>, Duration) {
    for _ in 0..TRIES_MAX {
        let begin = Instant::now();
        let result = call(node).await;
        let due = begin + ROUTE_TIMEOUT.saturating_sub(HEAD_MARGIN);
        if backend
            .head_sent()
            .is_some_and(|sent| begin < sent && sent < due)
        {
            return result;
        }
    }
    panic!("the backend server has sent no head in time");
}

/// Makes a call to `/brief` at a node; returns the status, the length of the body, or `None` if it
/// was cut, and how long the call took.
async fn call(node: &Node) -> (u16, Option<u64>, Duration) {
    let begin = Instant::now();
    let received = async {
        let mut stream = get("/brief").begin(node.calls).await;
        let head = head(&mut stream).await;
        let stated: u64 = head.headers["content-length"].parse().unwrap();
        let body = tokio::io::copy(&mut stream.take(stated), &mut tokio::io::sink()).await;
        // A reset ends a body like the end of the connection does.
        (head.status, body.ok().filter(|length| *length == stated))
    };
    let (status, body) = timeout(TIMEOUT, received).await.expect("the call ends");
    (status, body, begin.elapsed())
}

// Guards against a faulty backend server that sends a body without end: with a stated length it was
// passed on until the caller left.
#[tokio::test]
async fn body_of_stated_length_is_cut_at_the_deadline() {
    for part in [1 << 10, 64 << 10] {
        let [near, far] = fixture(Plan::with_length(1 << 40, part, None)).await;

        for node in [&near, &far] {
            let (status, body, took) = call(node).await;

            assert_eq!((status, body), (200, None));
            assert!(took < ROUTE_TIMEOUT + FINAL_RESPONSE_MAX, "{took:?}");
        }
    }
}

#[tokio::test]
async fn body_that_stalls_before_its_stated_end_is_cut_at_the_deadline() {
    let [near, _far] = fixture(Plan::with_length(10_000, 1_000, Some(9))).await;

    let (status, body, took) = call(&near).await;

    assert_eq!((status, body), (200, None));
    assert!(took < ROUTE_TIMEOUT + FINAL_RESPONSE_MAX, "{took:?}");
}

#[tokio::test]
async fn slow_body_of_stated_length_within_the_deadline_is_passed_on_whole() {
    // Below and above the size up to which a body is buffered before it is passed on.
    for (part, count) in [(1 << 10, 60), (8 << 10, 60)] {
        let length = (part * count) as u64;
        let plan = Plan::with_length(length, part, Some(count));
        let [near, far] = fixture(plan).await;

        for node in [&near, &far] {
            let (status, body, took) = call(node).await;

            assert_eq!((status, body), (200, Some(length)));
            assert!(took < ROUTE_TIMEOUT, "{took:?}");
        }
    }
}

// Nothing was passed on yet at the deadline; the response must not end as if it were whole.
#[tokio::test]
async fn body_that_stalls_just_before_the_deadline_is_cut() {
    let plan = Plan {
        work: ROUTE_TIMEOUT.saturating_sub(Duration::from_millis(100)),
        ..Plan::with_length(10_000, 1_000, Some(9))
    };
    let ([near, far], backend) = fixture_with_backend(plan).await;

    for node in [&near, &far] {
        let (status, body, took) = call_answered_in_time(node, &backend).await;

        assert_eq!((status, body), (200, None));
        assert!(took < ROUTE_TIMEOUT + FINAL_RESPONSE_MAX, "{took:?}");
    }
}

// The backend server has done its work in time, so its response is delivered, if late.
#[tokio::test]
async fn body_that_ends_shortly_after_the_deadline_is_passed_on_whole() {
    let plan = Plan {
        work: ROUTE_TIMEOUT.saturating_sub(Duration::from_millis(50)),
        ..Plan::with_length(6_000, 1_000, Some(6))
    };
    let ([near, far], backend) = fixture_with_backend(plan).await;

    for node in [&near, &far] {
        let (status, body, took) = call_answered_in_time(node, &backend).await;

        assert_eq!((status, body), (200, Some(6_000)));
        assert!(took > ROUTE_TIMEOUT, "{took:?}");
    }
}

// Guards against a head that is held back until the deadline while its body is buffered: the node that
// waited for it gave the call up at the same moment, and a ready response became 504.
#[tokio::test]
async fn head_of_an_unfinished_body_is_passed_on_before_the_deadline() {
    let plan = Plan {
        work: ROUTE_TIMEOUT.saturating_sub(Duration::from_millis(200)),
        ..Plan::with_length(10_000, 1_000, Some(1))
    };
    let [near, far] = fixture(plan).await;

    for node in [&near, &far] {
        let begin = Instant::now();
        let mut stream = get("/brief").begin(node.calls).await;
        let head = head(&mut stream).await;
        let took = begin.elapsed();

        assert_eq!(head.status, 200);
        assert!(took < ROUTE_TIMEOUT, "{took:?}");
    }
}
