//! Bytes that are no valid response, in the place of one: the client reports the response as lost or
//! its body as truncated.

mod support;

use cicadagw_http::client::Loss;
use support::client::{body, pool, send};
use support::{AfterResponse, local, serve_responses};

/// A complete stale response.
const STALE: &str = "HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 5\r\n\r\nstale";

const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";

/// What may precede the expected response on a connection.
const BEFORE: [&str; 3] = ["", INTERIM, STALE];

/// Returns the outcome of a request to which a server responds with `bytes` and then closes the
/// connection: the status and the body, which is `None` if it was truncated.
async fn outcome(bytes: &str) -> Result<(u16, Option<String>), Loss> {
    let responses = vec![bytes.as_bytes().to_vec()];
    let pool = pool(serve_responses(responses, AfterResponse::Close).await);
    let response = send(&pool, "a").await?;
    Ok((response.head.status, body(response).await))
}

// Guards against a faulty server whose status code is not one of the protocol: it was passed on.
#[tokio::test]
async fn status_below_100_is_no_response() {
    for status in ["000", "001", "099"] {
        let head = format!("HTTP/1.1 {status} OK\r\nid: a\r\ncontent-length: 3\r\n\r\nown");
        let interim = format!("HTTP/1.1 {status} Processing\r\n\r\n{INTERIM}");
        let stale = STALE.replace("200", status);
        let whole = "HTTP/1.1 200 OK\r\nid: a\r\ncontent-length: 3\r\n\r\nown";
        let cases = [
            head.clone(),
            format!("{INTERIM}{head}"),
            format!("{STALE}{head}"),
            format!("{interim}{whole}"),
            format!("{stale}{whole}"),
        ];
        for case in cases {
            let outcome = local(outcome(&case)).await;

            assert_eq!(outcome, Err(Loss::Unusable), "{case}");
        }
    }
}

#[tokio::test]
async fn any_other_status_is_a_response() {
    for status in [200, 299, 304, 418, 599, 600, 999] {
        for before in BEFORE {
            let case = format!("{before}HTTP/1.1 {status} \r\nid: a\r\ncontent-length: 0\r\n\r\n");

            let outcome = local(outcome(&case)).await;

            assert_eq!(outcome, Ok((status, Some(String::new()))), "{case}");
        }
    }
}
