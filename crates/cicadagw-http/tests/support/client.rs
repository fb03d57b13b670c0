//! A client that sends requests and collects response bodies.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cicadagw_http::client::{Loss, Request, Response};
use cicadagw_http::pool::Options;
use cicadagw_http::{Fields, Framing, Pool, Response as ResponseHead, request_head};

pub const OPTIONS: Options = Options {
    connect_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
    tcp_user_timeout: Duration::from_secs(5),
};

pub fn pool(address: SocketAddr) -> Rc<Pool> {
    Pool::new(address, OPTIONS)
}

/// Sends a request; a response with an `id` field belongs to it only if the value is `id`.
pub async fn send(pool: &Rc<Pool>, id: &'static str) -> Result<Response, Loss> {
    let connection = pool.open(OPTIONS.idle_timeout).await.unwrap();
    let has_responded = Cell::new(false);
    let request = Request {
        head: request_head(b"GET", b"/", &Fields::default(), Framing::Empty),
        method: b"GET",
        buffered: Bytes::new(),
        streamed: None,
        has_responded: &has_responded,
    };
    connection.exchange(request, |head| is_ours(head, id)).await
}

/// Returns whether the response with `head` belongs to the request `id`.
pub fn is_ours(head: &ResponseHead, id: &str) -> bool {
    head.fields.get("id").is_none_or(|value| value == id)
}

/// Returns the response body, or `None` if it was truncated.
pub async fn body(mut response: Response) -> Option<String> {
    let mut collected = Vec::new();
    loop {
        match response.body.next().await {
            Ok(Some(part)) => collected.extend_from_slice(&part),
            Ok(None) => return Some(String::from_utf8(collected).unwrap()),
            Err(_) => return None,
        }
    }
}
