//! The side of a child: dials a parent and talks with it.

use std::net::SocketAddr;

use cicadagw_ring::Receiver;
use cicadagw_wire::link::{Event, Session};
use cicadagw_wire::{Down, Hello, Refusal, Up};
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::{
    ClientT, Subscription, SubscriptionClientT, SubscriptionCloseReason,
};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::net::TcpStream;

use crate::codec;
use crate::links::{End, Links, Peer};
use crate::method;
use crate::socket::Socket;
use crate::traffic::{Kind, Reach, Way};

/// What a parent sends, as it is carried.
type Downs = Subscription<Box<RawValue>>;

/// Begins to dial a parent.
pub(crate) fn dial(links: &Links, session: Session, address: SocketAddr, hello: Box<Hello>) {
    let (ring, messages) = cicadagw_ring::channel("link-up", links.limits.ring_capacity());
    let end = links.add(session, Peer::Parent(ring));
    let links = links.clone();
    tokio::spawn(async move {
        let talk = talk(&links, session, address, &hello, &messages, &end);
        tokio::select! {
            reason = talk => end.because(reason),
            () = end.token.cancelled() => {}
        }
        links.finish(session, &end).await;
    });
}

/// Joins a parent and talks with it until the link ends; returns the reason.
async fn talk(
    links: &Links,
    session: Session,
    address: SocketAddr,
    hello: &Hello,
    messages: &Receiver<Up>,
    end: &End,
) -> String {
    let join = join(links, address, hello, end);
    let Ok(joined) = tokio::time::timeout(links.limits.dial.into(), join).await else {
        return format!("no answer from {address} in time");
    };
    let (client, mut downs) = match joined {
        Ok(joined) => joined,
        Err(error) => return fail(links, session, &error).await,
    };
    links.tell(Event::Opened { session }).await;
    tokio::select! {
        reason = take_down(links, session, &mut downs) => reason,
        reason = pass_up(links, &client, messages) => reason,
    }
}

/// Connects and asks to join.
async fn join(
    links: &Links,
    address: SocketAddr,
    hello: &Hello,
    end: &End,
) -> Result<(WsClient, Downs), ClientError> {
    let transport = |error: std::io::Error| ClientError::Transport(error.into());
    let stream = TcpStream::connect(address).await.map_err(transport)?;
    let socket = Socket::new(stream, &end.token).map_err(transport)?;
    let size = links.limits.message_size();
    let client = WsClientBuilder::new()
        .max_request_size(size)
        .max_response_size(size)
        .request_timeout(links.limits.join.into())
        .max_buffer_capacity_per_subscription(links.limits.ring_capacity())
        .build_with_stream(format!("ws://{address}"), socket)
        .await?;
    let downs = client
        .subscribe(method::JOIN, one(hello)?, method::LEAVE)
        .await?;
    Ok((client, downs))
}

/// Tells of a refusal, if `error` is one; returns the reason why the link ends.
async fn fail(links: &Links, session: Session, error: &ClientError) -> String {
    if let Some(refusal) = refusal(error) {
        links.open().remove(&session);
        links.tell(Event::Refused { session, refusal }).await;
    }
    error.to_string()
}

fn refusal(error: &ClientError) -> Option<Refusal> {
    match error {
        ClientError::Call(error) if error.code() == method::REFUSED => {
            serde_json::from_str(error.data()?.get()).ok()
        }
        _ => None,
    }
}

/// Takes what the parent sends; returns the reason why that ends.
async fn take_down(links: &Links, session: Session, downs: &mut Downs) -> String {
    while let Some(text) = downs.next().await {
        let text = match text {
            Ok(text) => text,
            Err(error) => return error.to_string(),
        };
        let message: Down = match codec::decode(text.get(), links.limits.message) {
            Ok(message) => message,
            Err(error) => return error.to_string(),
        };
        let kind = Kind::from(&message);
        links
            .traffic
            .add(Way::Received, Reach::Within, kind, text.get().len());
        let message = Box::new(message);
        links.tell(Event::Down { session, message }).await;
    }
    match downs.close_reason() {
        Some(SubscriptionCloseReason::Lagged) => "this node takes messages too slowly".to_owned(),
        Some(SubscriptionCloseReason::ConnectionClosed) | None => "the parent is gone".to_owned(),
    }
}

/// Sends what is in the ring, one message after the other; returns the reason why that ends.
async fn pass_up(links: &Links, client: &WsClient, messages: &Receiver<Up>) -> String {
    while let Some(message) = messages.recv().await {
        let kind = Kind::from(&message);
        let text = codec::encode_up(&message);
        links
            .traffic
            .add(Way::Sent, Reach::Within, kind, text.get().len());
        let sent = match one(&text) {
            Ok(params) => client.request::<(), _>(method::UP, params).await,
            Err(error) => Err(error),
        };
        if let Err(error) = sent {
            return error.to_string();
        }
    }
    "closed by this node".to_owned()
}

fn one<T: Serialize>(value: &T) -> Result<ArrayParams, ClientError> {
    let mut params = ArrayParams::new();
    params.insert(value).map_err(ClientError::ParseError)?;
    Ok(params)
}
