//! Load at a constant rate.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Connector;
use awc::http::Method;
use bon::Builder;
use bytes::Bytes;
use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;
use compact_str::{CompactString, format_compact};
use smallvec::SmallVec;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::Report;
use super::call::{Calls, call};
use super::report::CallResult;

/// The interval at which due calls are sent.
const TICK_INTERVAL: Duration = Duration::from_millis(1);

/// An open-loop load: calls at a constant rate, whether or not earlier ones have completed.
#[derive(Builder, Clone, Debug)]
pub struct Load {
    /// The addresses that the calls are sent to, in turn.
    #[builder(with = |addresses: &[SocketAddr]| addresses.into())]
    pub addresses: SmallVec<[SocketAddr; 4]>,
    /// The minimum size of a response body, in bytes.
    #[builder(default)]
    pub min_response_bytes: usize,
    /// The maximum number of attempts, each at the next address. Only a call that was certainly not
    /// executed is tried again.
    #[builder(default = 1)]
    pub attempts: u8,
    /// The body of each request.
    #[builder(default)]
    pub body: Bytes,
    /// The `host` header; `None` sends the address.
    #[builder(into)]
    pub host: Option<CompactString>,
    /// The method of each request.
    #[builder(default = Method::POST)]
    pub method: Method,
    /// The path of each request.
    #[builder(into)]
    pub path: CompactString,
    /// The number of calls per second.
    pub rate: PerSecond,
    /// The time during which calls are sent.
    pub span: Span,
    /// The timeout of an attempt.
    #[builder(default = Span::seconds(10))]
    pub timeout: Span,
}

impl Load {
    /// Sends calls until the span is over or `end` is cancelled, and waits until all have
    /// completed.
    ///
    /// Must run in an actix system, since it spawns local tasks.
    pub async fn run(self, end: CancellationToken) -> Report {
        let total = u64::from(self.rate.get()) * self.span.get() / 1_000;
        let calls = Rc::new(self.calls());
        let mut running: JoinSet<CallResult> = JoinSet::new();
        let mut report = Report::default();
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let begin = Instant::now();
        let mut sent = 0;
        while sent < total {
            tokio::select! {
                () = end.cancelled() => break,
                _ = ticks.tick() => {}
            }
            while sent < total && begin + calls.load.due(sent) <= Instant::now() {
                let due = begin + calls.load.due(sent);
                running.spawn_local(call(calls.clone(), sent, due));
                sent += 1;
            }
            while let Some(Ok(result)) = running.try_join_next() {
                report.record(result);
            }
        }
        for result in running.join_all().await {
            report.record(result);
        }
        report
    }

    /// Returns the time at which call `number` is due, relative to the first call.
    fn due(&self, number: u64) -> Duration {
        Duration::from_secs_f64(number as f64 / f64::from(self.rate.get()))
    }

    /// Creates the HTTP client and a random prefix for request ids.
    fn calls(self) -> Calls {
        let connector = Connector::new().limit(0);
        Calls {
            http: awc::Client::builder()
                .connector(connector)
                .disable_redirects()
                .finish(),
            load: self,
            prefix: format_compact!("call-{:08x}", rand::random::<u32>()),
        }
    }
}
