//! The parent's side of a link: accepts connections and serves the children that join.

use std::sync::Arc;

use cicadagw_ring::Receiver;
use cicadagw_wire::link::{Event, LinkId};
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
use crate::links::{Closer, Encoded, Links, Peer};
use crate::method;
use crate::socket::Socket;
use crate::traffic::{Direction, Kind, Reach};

/// How many messages the transport buffers for a child, in addition to the ring.
const BUFFERED_MAX: u32 = 4;

/// Gives the only subscription of a connection a one-byte id, since every message to a child
/// carries it.
#[derive(Debug)]
struct SingleSubscriptionId;

impl IdProvider for SingleSubscriptionId {
    fn next_id(&self) -> SubscriptionId<'static> {
        SubscriptionId::Num(1)
    }
}

/// Accepts connections until the duty ends.
pub(crate) async fn accept_peers(links: &Links, listener: TcpListener) {
    let methods = Methods::from(module(links));
    let count = usize::try_from(links.limits.connections_max.get()).unwrap_or(usize::MAX);
    let permits = Arc::new(Semaphore::new(count.min(Semaphore::MAX_PERMITS)));
    let mut id: u32 = 0;
    loop {
        // At the limit of connections, further ones wait in the listener's backlog.
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "failed to accept a connection");
                tokio::time::sleep(links.limits.accept_retry_delay.into()).await;
                continue;
            }
        };
        let links = links.clone();
        let methods = methods.clone();
        tokio::spawn(async move {
            serve_connection(&links, methods, id, stream).await;
            drop(permit);
        });
        id = id.wrapping_add(1);
    }
}

/// Returns the link id of an incoming connection, which is odd; those of dialled links are even.
fn link_id_of(id: u64) -> LinkId {
    LinkId(2 * id + 1)
}

/// Serves one connection until it ends.
async fn serve_connection(links: &Links, methods: Methods, id: u32, stream: TcpStream) {
    let session = link_id_of(id.into());
    let closer = links.add(session, Peer::Unjoined);
    if let Ok(socket) = Socket::new(stream, &closer.token) {
        let (stop, _server) = stop_channel();
        let service = server::Server::builder()
            .set_config(config(links))
            .to_service_builder()
            .connection_id(id)
            .build(methods, stop);
        tokio::spawn(serve(socket, service));
        let waited =
            tokio::time::timeout(links.limits.join_timeout.into(), closer.token.cancelled()).await;
        if waited.is_err() && !links.has_joined(session) {
            closer.close("the peer did not join in time");
        }
        closer.token.cancelled().await;
    }
    links.remove_ended(session, &closer).await;
}

/// Returns the configuration of the JSON-RPC server for one connection.
fn config(links: &Links) -> ServerConfig {
    let size = links.limits.message_size();
    ServerConfig::builder()
        .ws_only()
        .max_request_body_size(size)
        .max_response_body_size(size)
        .max_subscriptions_per_connection(1)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .set_id_provider(SingleSubscriptionId)
        .set_message_buffer_capacity(BUFFERED_MAX)
        .build()
}

/// Returns the JSON-RPC methods of a parent.
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

/// Handles [`method::JOIN`]: asks the control duty, and serves an accepted child until the link
/// ends.
async fn join(
    params: Params<'static>,
    pending: PendingSubscriptionSink,
    links: Arc<Links>,
    _extensions: Extensions,
) {
    let session = link_id_of(pending.connection_id().0 as u64);
    let hello: Hello = match params.one() {
        Ok(hello) => hello,
        Err(error) => return pending.reject(error).await,
    };
    let (response_sender, response) = oneshot::channel();
    let (ring, messages) = cicadagw_ring::channel("link-down", links.limits.ring_capacity());
    let reach = if hello.region == links.region {
        Reach::Within
    } else {
        Reach::Across
    };
    let Some(closer) = links.request_join(session, response_sender, reach, ring) else {
        return pending
            .reject(method::invalid_params("the peer has already asked to join"))
            .await;
    };
    let hello = Box::new(hello);
    links
        .send_event(Event::JoinRequested { session, hello })
        .await;
    let outcome = tokio::select! {
        outcome = response => outcome,
        () = closer.token.cancelled() => return,
    };
    match outcome {
        Ok(Ok(())) => {
            if let Ok(sink) = pending.accept().await {
                send_down(&sink, &messages, &closer).await;
            }
        }
        Ok(Err(refusal)) => pending.reject(refused(&refusal)).await,
        // The link was closed before it was answered.
        Err(_) => {}
    }
}

/// Sends the messages in the ring as fast as the child reads them.
async fn send_down(sink: &SubscriptionSink, messages: &Receiver<Encoded>, closer: &Closer) {
    let forward = async {
        while let Some(message) = messages.recv().await {
            let message: Box<RawValue> = (*message).to_owned();
            if sink.send(message).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = forward => closer.close("the connection to the child was lost"),
        () = sink.closed() => closer.close("the child ended its subscription"),
        () = closer.token.cancelled() => {}
    }
}

/// Returns the error that refuses a join.
fn refused(refusal: &Refusal) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(method::REFUSED, "the join is refused", Some(refusal))
}

/// Handles [`method::UP`]: processes one message of a child. The response lets the child send the
/// next one.
async fn up(
    params: Params<'static>,
    links: Arc<Links>,
    extensions: Extensions,
) -> Result<(), ErrorObjectOwned> {
    let joined = extensions
        .get::<ConnectionId>()
        .map(|id| link_id_of(id.0 as u64))
        .and_then(|session| Some((session, links.acquire_message_permit(session)?)));
    let Some((session, permit)) = joined else {
        return Err(method::invalid_params(
            "the peer has not joined, or its previous message is not answered yet",
        ));
    };
    let message = params
        .one::<Box<RawValue>>()
        .map_err(|error| error.to_string())
        .and_then(|text| {
            let message: Up = codec::decode(text.get(), links.limits.message_max)
                .map_err(|error| error.to_string())?;
            Ok((message, text.get().len()))
        });
    match message {
        Ok((message, size)) => {
            links.traffic.add(
                Direction::Received,
                permit.reach,
                Kind::from(&message),
                size,
            );
            let message = Box::new(message);
            links.send_event(Event::Up { session, message }).await;
            Ok(())
        }
        Err(reason) => {
            permit.closer.close(reason.clone());
            Err(method::invalid_params(&reason))
        }
    }
}
