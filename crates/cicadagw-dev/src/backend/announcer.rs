//! Announces a backend server to the node of its host.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::web::Data;
use cicadagw_unit::time::Span;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::Acknowledgement;
use super::state::State;

/// The time until the next announcement if the node did not give one.
const DEFAULT_INTERVAL: Span = Span::seconds(1);

/// The timeout of a request to the node.
const REQUEST_TIMEOUT: Span = Span::seconds(1);

/// Announces the backend server to the node at `node` until `end` is cancelled, then withdraws the
/// announcement.
pub(crate) async fn announce(state: Data<State>, node: SocketAddr, end: CancellationToken) {
    let http = awc::Client::builder()
        .timeout(REQUEST_TIMEOUT.into())
        .finish();
    let url = format!("http://{node}/announce");
    while !end.is_cancelled() {
        // When the node is not reachable, the next iteration tries again.
        let pause = announce_once(&http, &url, &state)
            .await
            .unwrap_or(DEFAULT_INTERVAL);
        tokio::select! {
            () = end.cancelled() => {}
            () = state.changed() => {}
            () = sleep(Duration::from(pause)) => {}
        }
    }
    let endpoint = &state.backend.endpoint;
    let _ = http.delete(format!("{url}/{endpoint}")).send().await;
}

/// Announces once and returns the time until the next announcement, or `None` when there was no
/// valid response.
async fn announce_once(http: &awc::Client, url: &str, state: &State) -> Option<Span> {
    let sending = http.post(url).send_json(&state.announcement());
    let mut response = sending.await.ok()?;
    let acknowledgement: Acknowledgement = response.json().await.ok()?;
    Some(Span::new(acknowledgement.renew_ms))
}
