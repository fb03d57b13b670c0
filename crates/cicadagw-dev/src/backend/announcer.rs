//! Announcing to the node of the host.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::web::Data;
use cicadagw_unit::time::Span;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::Renewal;
use super::state::State;

/// How soon an announcement is repeated when the node has not said it.
const RENEW: Span = Span::seconds(1);

/// How long the node may take to answer.
const ANSWER: Span = Span::seconds(1);

/// Announces the backend server to the node at `node` until `end`, then takes it back.
pub(crate) async fn announce(state: Data<State>, node: SocketAddr, end: CancellationToken) {
    let http = awc::Client::builder().timeout(ANSWER.into()).finish();
    let url = format!("http://{node}/announce");
    while !end.is_cancelled() {
        // A node that is not there is tried again at the next turn.
        let renew = renew(&http, &url, &state).await.unwrap_or(RENEW);
        tokio::select! {
            () = end.cancelled() => {}
            () = state.changed() => {}
            () = sleep(Duration::from(renew)) => {}
        }
    }
    let endpoint = &state.backend.endpoint;
    let _ = http.delete(format!("{url}/{endpoint}")).send().await;
}

/// Announces once; returns how soon to do it again, or `None` when there was no good answer.
async fn renew(http: &awc::Client, url: &str, state: &State) -> Option<Span> {
    let sending = http.post(url).send_json(&state.announcement());
    let mut response = sending.await.ok()?;
    let renewal: Renewal = response.json().await.ok()?;
    Some(Span::new(renewal.renew_ms))
}
