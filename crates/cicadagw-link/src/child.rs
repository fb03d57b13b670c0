//! The child's side of a link: dials a parent, joins it and exchanges messages with it.

use std::net::SocketAddr;

use cicadagw_ring::Receiver;
use cicadagw_wire::link::{Event, LinkId};
use cicadagw_wire::{Down, Hello, Refusal, Up};
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::{
    ClientT, Subscription, SubscriptionClientT, SubscriptionCloseReason,
};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use serde::Serialize;
use serde_json::value::RawValue;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::codec;
use crate::links::{Closer, Links, Peer};
use crate::method;
use crate::socket::Socket;
use crate::traffic::{Direction, Kind, Reach};

/// The messages that a parent sends, still encoded.
type DownStream = Subscription<Box<RawValue>>;

/// Adds a link to a parent and spawns the task that dials it.
pub(crate) fn dial(links: &Links, session: LinkId, address: SocketAddr, hello: Box<Hello>) {
    let (ring, messages) = cicadagw_ring::channel("link-up", links.limits.ring_capacity());
    let closer = links.add(session, Peer::Parent(ring));
    let links = links.clone();
    tokio::spawn(async move {
        let exchange = exchange(&links, session, address, &hello, &messages, &closer);
        tokio::select! {
            reason = exchange => closer.close(reason),
            () = closer.token.cancelled() => {}
        }
        links.remove_ended(session, &closer).await;
    });
}

/// Joins a parent and exchanges messages with it until the link ends; returns the reason.
async fn exchange(
    links: &Links,
    session: LinkId,
    address: SocketAddr,
    hello: &Hello,
    messages: &Receiver<Up>,
    closer: &Closer,
) -> String {
    let join = join(links, address, hello, closer);
    let Ok(joined) = tokio::time::timeout(links.limits.dial_timeout.into(), join).await else {
        return format!("timed out joining the parent at {address}");
    };
    let (client, mut downs) = match joined {
        Ok(joined) => joined,
        Err(error) => return report_refusal(links, session, &error).await,
    };
    links.send_event(Event::Opened { session }).await;
    tokio::select! {
        reason = receive_down(links, session, &mut downs) => reason,
        reason = send_up(links, &client, messages) => reason,
    }
}

/// Connects to a parent and asks to join it.
async fn join(
    links: &Links,
    address: SocketAddr,
    hello: &Hello,
    closer: &Closer,
) -> Result<(WsClient, DownStream), ClientError> {
    let transport = |error: std::io::Error| ClientError::Transport(error.into());
    let stream = TcpStream::connect(address).await.map_err(transport)?;
    // Lets listeners bind the local address, while the connection is open and for the time after its
    // close for which the system keeps the address.
    if let Err(error) = SockRef::from(&stream).set_reuse_address(true) {
        log::debug!(error:%; "no listener can have the port of an outgoing connection");
    }
    let socket = Socket::new(stream, &closer.token).map_err(transport)?;
    let size = links.limits.message_size();
    let client = WsClientBuilder::new()
        .max_request_size(size)
        .max_response_size(size)
        .request_timeout(links.limits.join_timeout.into())
        .max_buffer_capacity_per_subscription(links.limits.ring_capacity())
        .build_with_stream(format!("ws://{address}"), socket)
        .await?;
    let downs = client
        .subscribe(method::JOIN, single_param(hello)?, method::LEAVE)
        .await?;
    Ok((client, downs))
}

/// Reports a refusal to the control duty if `error` is one; returns the reason why the link ends.
async fn report_refusal(links: &Links, session: LinkId, error: &ClientError) -> String {
    if let Some(refusal) = refusal(error) {
        links.open().remove(&session);
        links.send_event(Event::Refused { session, refusal }).await;
    }
    error.to_string()
}

/// Returns the refusal that `error` carries, if the parent refused the join.
fn refusal(error: &ClientError) -> Option<Refusal> {
    match error {
        ClientError::Call(error) if error.code() == method::REFUSED => {
            serde_json::from_str(error.data()?.get()).ok()
        }
        _ => None,
    }
}

/// Receives the messages of the parent; returns the reason why that ends.
async fn receive_down(links: &Links, session: LinkId, downs: &mut DownStream) -> String {
    while let Some(text) = downs.next().await {
        let text = match text {
            Ok(text) => text,
            Err(error) => return error.to_string(),
        };
        let message: Down = match codec::decode(text.get(), links.limits.message_max) {
            Ok(message) => message,
            Err(error) => return error.to_string(),
        };
        let kind = Kind::from(&message);
        links
            .traffic
            .add(Direction::Received, Reach::Within, kind, text.get().len());
        let message = Box::new(message);
        links.send_event(Event::Down { session, message }).await;
    }
    match downs.close_reason() {
        Some(SubscriptionCloseReason::Lagged) => "this node reads messages too slowly".to_owned(),
        Some(SubscriptionCloseReason::ConnectionClosed) | None => {
            "the connection to the parent was closed".to_owned()
        }
    }
}

/// Sends the messages in the ring to the parent, each after the previous one was answered; returns
/// the reason why that ends.
async fn send_up(links: &Links, client: &WsClient, messages: &Receiver<Up>) -> String {
    while let Some(message) = messages.recv().await {
        let kind = Kind::from(&message);
        let text = codec::encode_up(&message);
        links
            .traffic
            .add(Direction::Sent, Reach::Within, kind, text.get().len());
        let sent = match single_param(&text) {
            Ok(params) => client.request::<(), _>(method::UP, params).await,
            Err(error) => Err(error),
        };
        if let Err(error) = sent {
            return error.to_string();
        }
    }
    "closed by this node".to_owned()
}

/// Returns the parameters of a call that takes `value` alone.
fn single_param<T: Serialize>(value: &T) -> Result<ArrayParams, ClientError> {
    let mut params = ArrayParams::new();
    params.insert(value).map_err(ClientError::ParseError)?;
    Ok(params)
}
