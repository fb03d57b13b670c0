//! Backend servers that only announce themselves: one loop for each node, all on one thread.

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

use crate::backend::{Announcement, Backend, Load, Renewal};
use crate::process::Node;

/// How soon an announcement is repeated when the node has not said it.
const RENEW: Span = Span::seconds(1);

/// How long the node may take to answer.
const ANSWER: Span = Span::seconds(2);

/// The port that the announced backend servers would have; nobody calls them.
const PORT: u16 = 9;

/// How many requests and connections each says it takes.
const SLOTS: Slots = Slots::new(10);

/// The announcing loops; they end when this is dropped.
pub(crate) struct Announcers {
    end: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl Announcers {
    /// Starts a loop for each node; the services go round.
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
            // A loop that panicked has ended as well.
            let _ = thread.join();
        }
    }
}

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

/// Announces for ever; a node that is not there is tried again at the next turn.
async fn announce(node: SocketAddr, announcement: Announcement) {
    let http = awc::Client::builder().timeout(ANSWER.into()).finish();
    let url = format!("http://{node}/announce");
    loop {
        let renew = renew(&http, &url, &announcement).await.unwrap_or(RENEW);
        sleep(Duration::from(renew)).await;
    }
}

async fn renew(http: &awc::Client, url: &str, announcement: &Announcement) -> Option<Span> {
    let mut response = http.post(url).send_json(announcement).await.ok()?;
    let renewal: Renewal = response.json().await.ok()?;
    Some(Span::new(renewal.renew_ms))
}
