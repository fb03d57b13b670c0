//! The side of a parent: takes connections and serves those that join.

use std::sync::Arc;

use cicadagw_ring::Receiver;
use cicadagw_wire::link::{Event, Session};
use cicadagw_wire::{Hello, Refusal, Up};
use jsonrpsee::server::{
    BatchRequestConfig, ConnectionId, Extensions, IdProvider, Methods, PendingSubscriptionSink,
    ServerConfig, SubscriptionSink, serve, stop_channel,
};
use jsonrpsee::types::{ErrorObjectOwned, Params, SubscriptionId};
use jsonrpsee::{RpcModule, server};
use serde_json::value::RawValue;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};

use crate::codec;
use crate::links::{Encoded, End, Links, Peer};
use crate::method;
use crate::socket::Socket;
use crate::traffic::{Kind, Reach, Way};

/// How many messages the transport holds for a child, besides the ring.
const BUFFERED_MAX: u32 = 4;

/// Names the one subscription of a connection, in one byte since every beat carries the name.
#[derive(Debug)]
struct OnlyId;

impl IdProvider for OnlyId {
    fn next_id(&self) -> SubscriptionId<'static> {
        SubscriptionId::Num(1)
    }
}

/// Takes connections until the duty ends.
pub(crate) async fn take_peers(links: &Links, listener: TcpListener) {
    let methods = Methods::from(module(links));
    let count = usize::try_from(links.limits.connections.get()).unwrap_or(usize::MAX);
    let permits = Arc::new(Semaphore::new(count.min(Semaphore::MAX_PERMITS)));
    let mut id: u32 = 0;
    loop {
        // With as many connections as may be, further ones wait in the listener's backlog.
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "a connection was not taken");
                tokio::time::sleep(links.limits.retry.into()).await;
                continue;
            }
        };
        let links = links.clone();
        let methods = methods.clone();
        tokio::spawn(async move {
            attend(&links, methods, id, stream).await;
            drop(permit);
        });
        id = id.wrapping_add(1);
    }
}

/// Returns the session of a connection; those of incoming links are odd.
fn session_of(id: u64) -> Session {
    Session(2 * id + 1)
}

/// Serves one connection from its beginning to its end.
async fn attend(links: &Links, methods: Methods, id: u32, stream: TcpStream) {
    let session = session_of(id.into());
    let end = links.add(session, Peer::Stranger);
    if let Ok(socket) = Socket::new(stream, &end.token) {
        let (stop, _server) = stop_channel();
        let service = server::Server::builder()
            .set_config(config(links))
            .to_service_builder()
            .connection_id(id)
            .build(methods, stop);
        tokio::spawn(serve(socket, service));
        let waited = tokio::time::timeout(links.limits.join.into(), end.token.cancelled()).await;
        if waited.is_err() && !links.has_joined(session) {
            end.because("the peer did not join in time");
        }
        end.token.cancelled().await;
    }
    links.finish(session, &end).await;
}

fn config(links: &Links) -> ServerConfig {
    let size = links.limits.message_size();
    ServerConfig::builder()
        .ws_only()
        .max_request_body_size(size)
        .max_response_body_size(size)
        .max_subscriptions_per_connection(1)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .set_id_provider(OnlyId)
        .set_message_buffer_capacity(BUFFERED_MAX)
        .build()
}

fn module(links: &Links) -> RpcModule<Links> {
    let mut module = RpcModule::new(links.clone());
    module
        .register_subscription(method::JOIN, method::DOWN, method::LEAVE, join)
        .expect("the names of methods differ");
    module
        .register_async_method(method::UP, up)
        .expect("the names of methods differ");
    module
}

/// Serves one that asks to join, until the link ends.
async fn join(
    params: Params<'static>,
    pending: PendingSubscriptionSink,
    links: Arc<Links>,
    _extensions: Extensions,
) {
    let session = session_of(pending.connection_id().0 as u64);
    let hello: Hello = match params.one() {
        Ok(hello) => hello,
        Err(error) => return pending.reject(error).await,
    };
    let (answer, answered) = oneshot::channel();
    let (ring, messages) = cicadagw_ring::channel("link-down", links.limits.ring_capacity());
    let reach = if hello.region == links.region {
        Reach::Within
    } else {
        Reach::Across
    };
    let Some(end) = links.ask(session, answer, reach, ring) else {
        return pending
            .reject(method::invalid("the peer asked before"))
            .await;
    };
    let hello = Box::new(hello);
    links.tell(Event::Joining { session, hello }).await;
    let answered = tokio::select! {
        answered = answered => answered,
        () = end.token.cancelled() => return,
    };
    match answered {
        Ok(Ok(())) => {
            if let Ok(sink) = pending.accept().await {
                pass_down(&sink, &messages, &end).await;
            }
        }
        Ok(Err(refusal)) => pending.reject(refused(&refusal)).await,
        // The link was closed before it was answered.
        Err(_) => {}
    }
}

/// Sends what is in the ring, at the speed of the child.
async fn pass_down(sink: &SubscriptionSink, messages: &Receiver<Encoded>, end: &End) {
    let pass = async {
        while let Some(message) = messages.recv().await {
            let message: Box<RawValue> = (*message).to_owned();
            if sink.send(message).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = pass => end.because("the child is gone"),
        () = sink.closed() => end.because("the child left"),
        () = end.token.cancelled() => {}
    }
}

fn refused(refusal: &Refusal) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(method::REFUSED, "the join is refused", Some(refusal))
}

/// Takes one message of a child; its answer lets the child send the next.
async fn up(
    params: Params<'static>,
    links: Arc<Links>,
    extensions: Extensions,
) -> Result<(), ErrorObjectOwned> {
    let joined = extensions
        .get::<ConnectionId>()
        .map(|id| session_of(id.0 as u64))
        .and_then(|session| Some((session, links.take_turn(session)?)));
    let Some((session, turn)) = joined else {
        return Err(method::invalid(
            "the peer has not joined, or has its turn already",
        ));
    };
    let message = params
        .one::<Box<RawValue>>()
        .map_err(|error| error.to_string())
        .and_then(|text| {
            let message: Up = codec::decode(text.get(), links.limits.message)
                .map_err(|error| error.to_string())?;
            Ok((message, text.get().len()))
        });
    match message {
        Ok((message, size)) => {
            links
                .traffic
                .add(Way::Received, turn.reach, Kind::from(&message), size);
            let message = Box::new(message);
            links.tell(Event::Up { session, message }).await;
            Ok(())
        }
        Err(reason) => {
            turn.end.because(reason.clone());
            Err(method::invalid(&reason))
        }
    }
}
