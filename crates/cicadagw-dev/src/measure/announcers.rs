//! Announces backend servers that do not exist, one to each node, from one thread.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use actix_web::rt::System;
use cicadagw_endpoint::State;
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Span;
use futures_util::future::join_all;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::backend::{Acknowledgement, Announcement, Backend, Load};
use crate::process::Node;

/// The pause before the next announcement if the node did not acknowledge the last one.
const DEFAULT_INTERVAL: Span = Span::seconds(1);

/// The timeout of a request to the node.
const RESPONSE_TIMEOUT: Span = Span::seconds(2);

/// The port of the announced backend servers; nothing listens there, and no calls are sent to them.
const PORT: u16 = 9;

/// The slots and connections that each backend server announces.
const SLOTS: Slots = Slots::new(10);

/// The announcing thread; it ends when this is dropped.
pub(crate) struct Announcers {
    end: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl Announcers {
    /// Starts to announce one backend server to each node; `services` are assigned round-robin.
    pub(crate) fn start(nodes: &[Node], services: &[id::Service]) -> io::Result<Self> {
        let end = CancellationToken::new();
        let announcements: Vec<_> = nodes
            .iter()
            .zip(services.iter().cycle())
            .enumerate()
            .map(|(number, (node, service))| (node.announce, announcement(node, service, number)))
            .collect();
        let cancel = end.clone();
        let thread = thread::Builder::new()
            .name("announcers".into())
            .spawn(move || {
                let loops = announcements
                    .into_iter()
                    .map(|(node, announcement)| announce(node, announcement));
                System::new().block_on(cancel.run_until_cancelled(join_all(loops)));
            })?;
        Ok(Self {
            end,
            thread: Some(thread),
        })
    }
}

impl Drop for Announcers {
    fn drop(&mut self) {
        self.end.cancel();
        if let Some(thread) = self.thread.take() {
            // An error means that the thread panicked, so it has ended as well.
            let _ = thread.join();
        }
    }
}

/// Returns the announcement of backend server `number` of `service`, on the host of `node`.
fn announcement(node: &Node, service: &id::Service, number: usize) -> Announcement {
    let number = u16::try_from(number).unwrap_or(u16::MAX);
    Announcement {
        address: SocketAddr::new(node.host, PORT),
        connections: SLOTS,
        endpoint: Backend::new_endpoint(service, number),
        load: Load::default(),
        service: service.clone(),
        slots: SLOTS,
        state: State::Ready,
    }
}

/// Sends `announcement` repeatedly until dropped, with the pause that the node asks for; after a
/// failure the pause is [`DEFAULT_INTERVAL`].
async fn announce(node: SocketAddr, announcement: Announcement) {
    let http = awc::Client::builder()
        .timeout(RESPONSE_TIMEOUT.into())
        .finish();
    let url = format!("http://{node}/announce");
    loop {
        let pause = send(&http, &url, &announcement)
            .await
            .unwrap_or(DEFAULT_INTERVAL);
        sleep(Duration::from(pause)).await;
    }
}

/// Sends one announcement; returns the pause that the node asks for, or `None` if the request
/// failed or the response is not an acknowledgement.
async fn send(http: &awc::Client, url: &str, announcement: &Announcement) -> Option<Span> {
    let mut response = http.post(url).send_json(announcement).await.ok()?;
    let acknowledgement: Acknowledgement = response.json().await.ok()?;
    Some(Span::new(acknowledgement.renew_ms))
}
