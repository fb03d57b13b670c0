//! Short HTTP requests to test servers and to the admin pages of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::rt::System;
use cicadagw_unit::time::Span;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

/// The timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval at which [`wait_until_ok`] requests a page.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The largest response body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The reason why a request failed, with its URL or path.
#[derive(Debug)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Runs `future` to completion in a new actix system on this thread, which must not run another
/// one.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    System::new().block_on(future)
}

/// Sends a GET request for `path` to `address` and returns the response body.
///
/// # Errors
///
/// Fails if the request fails, the body is incomplete or too large, or the status is not 200.
pub async fn get(address: SocketAddr, path: &str) -> Result<String, Error> {
    let url = format!("http://{address}{path}");
    let sending = client().get(&url).send();
    read_response(&url, sending).await
}

/// Sends a GET request for `path` to `address` and decodes the JSON body.
///
/// # Errors
///
/// Fails as [`get`] does, and if the body is not JSON of the expected form.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Error> {
    let text = get(address, path).await?;
    serde_json::from_str(&text).map_err(|error| Error(format!("{path}: {error}")))
}

/// Sends `body` as JSON in a POST request for `path` to `address` and returns the response body.
///
/// # Errors
///
/// Fails as [`get`] does.
pub async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Result<String, Error> {
    let url = format!("http://{address}{path}");
    let sending = client().post(&url).send_json(body);
    read_response(&url, sending).await
}

/// Requests `path` at `address` until the response has status 200, for at most `wait`.
///
/// # Errors
///
/// Fails if `wait` has elapsed; the error is that of the last request.
pub async fn wait_until_ok(address: SocketAddr, path: &str, wait: Span) -> Result<(), Error> {
    let end = Instant::now() + wait.into();
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Error(format!("{address}{path}: no response"));
    while timeout_at(end, ticks.tick()).await.is_ok() {
        match timeout_at(end, get(address, path)).await {
            Ok(Ok(_)) => return Ok(()),
            Ok(Err(error)) => last = error,
            Err(_) => break,
        }
    }
    Err(last)
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(REQUEST_TIMEOUT).finish()
}

async fn read_response(url: &str, sending: awc::SendClientRequest) -> Result<String, Error> {
    let failed = |reason: String| Error(format!("{url}: {reason}"));
    let mut response = sending.await.map_err(|error| failed(error.to_string()))?;
    let body = response.body().limit(MAX_BODY_BYTES).await;
    let body = body.map_err(|error| failed(error.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if response.status() == awc::http::StatusCode::OK {
        Ok(text)
    } else {
        Err(failed(format!("{}: {text}", response.status())))
    }
}
