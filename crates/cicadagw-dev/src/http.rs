//! Short calls to stand-ins and admin pages.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::rt::System;
use cicadagw_unit::time::Span;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

/// How long an answer may take.
const ANSWER: Duration = Duration::from_secs(5);

/// How often a page is asked for until it says that its process is ready.
const POLL: Duration = Duration::from_millis(20);

/// The longest page that is read, in bytes.
const PAGE_MAX: usize = 64 << 20;

/// Says why a call failed.
#[derive(Debug)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Runs `future` on this thread, which runs no other.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    System::new().block_on(future)
}

/// Reads the page `path` at `address`.
///
/// # Errors
///
/// When there is no whole answer with status 200.
pub async fn get(address: SocketAddr, path: &str) -> Result<String, Error> {
    let url = format!("http://{address}{path}");
    let sending = client().get(&url).send();
    finish(&url, sending).await
}

/// Reads the JSON page `path` at `address`.
///
/// # Errors
///
/// As [`get`], and when the page has another form.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Error> {
    let text = get(address, path).await?;
    serde_json::from_str(&text).map_err(|error| Error(format!("{path}: {error}")))
}

/// Sends `body` as JSON to the page `path` at `address`.
///
/// # Errors
///
/// As [`get`].
pub async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Result<String, Error> {
    let url = format!("http://{address}{path}");
    let sending = client().post(&url).send_json(body);
    finish(&url, sending).await
}

/// Waits at most `wait` until the page `path` at `address` answers with status 200.
///
/// # Errors
///
/// Why the last try failed.
pub async fn wait_until_ok(address: SocketAddr, path: &str, wait: Span) -> Result<(), Error> {
    let end = Instant::now() + wait.into();
    let mut ticks = interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Error(format!("{address}{path}: no answer"));
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
    awc::Client::builder().timeout(ANSWER).finish()
}

async fn finish(url: &str, sending: awc::SendClientRequest) -> Result<String, Error> {
    let failed = |reason: String| Error(format!("{url}: {reason}"));
    let mut response = sending.await.map_err(|error| failed(error.to_string()))?;
    let body = response.body().limit(PAGE_MAX).await;
    let body = body.map_err(|error| failed(error.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if response.status() == awc::http::StatusCode::OK {
        Ok(text)
    } else {
        Err(failed(format!("{}: {text}", response.status())))
    }
}
