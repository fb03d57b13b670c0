//! Responses with odd numbers in their heads.

mod support;

use std::time::Duration;

use support::backend::Received;
use support::caller::get;
use support::mesh::Mesh;
use support::scripted::Scripted;
use tokio::time::timeout;

/// The time within which a call must end; far longer than it takes.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Responds to the first request with a length that no response has, and then as usual.
#[expect(clippy::unnecessary_wraps, reason = "it has the type of a script")]
fn odd_length_first(request: &Received) -> Option<String> {
    let length = if request.headers["x-id"] == "odd" {
        u64::MAX
    } else {
        3
    };
    Some(format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\nown"
    ))
}

#[tokio::test]
async fn odd_content_length_affects_no_other_call() {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Scripted::start(odd_length_first).await;
    far.announce("orders-1", backend.address, "ready").await;
    mesh.propagate(&far).await;
    let odd = get("/orders").id("odd").begin(near.calls).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(odd);

    for _ in 0..3 {
        let next = get("/orders").id("next").send(near.calls);
        let response = timeout(TIMEOUT, next).await.expect("the call ends");
        assert_eq!((response.status, response.text()), (200, "own"));
    }
}
