//! Dispatches the requests of a listener by its kind.

use std::rc::Rc;
use std::time::Duration;

use cicadagw_call::Reason;
use cicadagw_http::server::{Limits, Refusal, Reply, Service};
use cicadagw_http::{Body, Request};
use cicadagw_unit::time::Span;

use crate::listener_kind::ListenerKind;
use crate::node::Node;
use crate::reply::End;
use crate::{announce, header, ingress};

/// The path from which other nodes fetch the current configuration snapshot.
pub const SNAPSHOT_PATH: &str = "/snapshot";

/// The delay after which a call of another node gets an interim response if its response is not
/// ready.
const INTERIM_RESPONSE_DELAY: Duration = Duration::from_millis(100);

/// The amount by which a head may exceed the limit on its fields. A call over that limit is then
/// still parsed and refused like any other call: with a reason, counted, and on a connection that
/// stays open.
const HEAD_MARGIN_BYTES: usize = 32 << 10;

/// When a call may come back that was refused because the node holds too much memory.
const OVERLOAD_RETRY_AFTER: Span = Span::seconds(1);

/// The service of one listener of the proxy.
pub(crate) struct Listener {
    node: Rc<Node>,
    kind: ListenerKind,
}

impl Listener {
    pub(crate) const fn new(node: Rc<Node>, kind: ListenerKind) -> Self {
        Self { node, kind }
    }
}

impl Service for Listener {
    fn limits(&self) -> Limits {
        let caller_limits = self.node.caller_limits();
        let headers = usize::try_from(caller_limits.headers.get()).unwrap_or(usize::MAX);
        Limits {
            body: self.node.limits().body.get(),
            head: headers.saturating_add(HEAD_MARGIN_BYTES),
            header_timeout: caller_limits.header_timeout.into(),
            idle_timeout: caller_limits.idle_timeout.into(),
        }
    }

    async fn handle(self: Rc<Self>, head: Request, body: Body) -> Reply {
        match self.kind {
            ListenerKind::Announcements => announce::handle(&self.node, &head, body).await,
            ListenerKind::Ready => ready(&self.node, &head),
            ListenerKind::Nodes if wants_snapshot(&head) => snapshot(&self.node),
            kind => ingress::handle(&self.node, kind, head, body).await,
        }
    }

    fn refuse(&self, refusal: Refusal) -> Reply {
        let reason = match refusal {
            Refusal::Malformed => Reason::BadRequest,
            Refusal::HeadTooLarge => Reason::HeaderLimit,
            Refusal::TooSlow => Reason::TooSlow,
            Refusal::Overloaded => Reason::Shed,
        };
        log::info!(reason:%; "refused a request before it was read completely");
        // Sent only with the status 503, that is, when the node holds too much memory.
        let retry_after = self.node.dialect.retry_after(OVERLOAD_RETRY_AFTER);
        End::NotRun(reason).into_reply(&retry_after)
    }

    fn is_draining(&self) -> bool {
        self.node.is_shutting_down()
    }

    fn interim_response_delay(&self) -> Option<Duration> {
        (self.kind == ListenerKind::Nodes).then_some(INTERIM_RESPONSE_DELAY)
    }
}

/// Returns whether another node requests the configuration snapshot.
fn wants_snapshot(head: &Request) -> bool {
    &head.target[..] == SNAPSHOT_PATH.as_bytes() && !head.fields.has(header::ENDPOINT)
}

fn snapshot(node: &Node) -> Reply {
    let Some(snapshot) = node.compressed_snapshot() else {
        return Reply::new(404);
    };
    let mut reply = Reply::new(200);
    reply.body = Body::Buffered(snapshot);
    reply
}

fn ready(node: &Node, head: &Request) -> Reply {
    let target = std::str::from_utf8(&head.target).unwrap_or_default();
    let path = target.split('?').next().unwrap_or_default();
    if !node.dialect.is_readiness_path(path) {
        return Reply::new(404);
    }
    Reply::new(if node.is_ready() { 200 } else { 503 })
}
