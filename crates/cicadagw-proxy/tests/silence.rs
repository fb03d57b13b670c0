//! Calls after the connections to another node have fallen silent without a reset.

mod support;

use std::time::Duration;

use support::caller::{get, post};
use support::mesh::Mesh;
use support::silencing::SilencingNode;
use tokio::time::timeout;

/// Time after which a node that sends nothing at all is noticed, and a generous margin.
const NOTICED_MAX: Duration = Duration::from_secs(1);

#[tokio::test]
async fn call_after_a_silent_connection_uses_no_other_idle_connection() {
    let mut mesh = Mesh::new();
    let caller = mesh.node("caller");
    let node = SilencingNode::start().await;
    mesh.add_endpoint("orders-1", "kochi", node.address);
    // Concurrent calls leave several idle connections.
    let call = || get("/orders").send(caller.calls);
    let (first, second, third) = tokio::join!(call(), call(), call());
    assert_eq!([first.status, second.status, third.status], [200; 3]);

    node.silence();
    let lost = timeout(NOTICED_MAX, post("/orders", "x").send(caller.calls)).await;
    let next = timeout(NOTICED_MAX, get("/orders").send(caller.calls)).await;

    assert!(
        lost.is_err(),
        "a call on a silent connection is not answered"
    );
    assert_eq!(next.expect("the next call is answered").status, 200);
}
