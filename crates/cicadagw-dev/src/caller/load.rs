//! Calls at a steady rate.

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
use super::report::Done;

/// How often calls that have come due are sent.
const TICK: Duration = Duration::from_millis(1);

/// Calls at a steady rate, whether or not earlier ones have been answered.
#[derive(Builder, Clone, Debug)]
pub struct Load {
    /// Where the calls go, in turn.
    #[builder(with = |addresses: &[SocketAddr]| addresses.into())]
    pub addresses: SmallVec<[SocketAddr; 4]>,
    /// How many bytes an answer must have at least.
    #[builder(default)]
    pub answer_bytes: usize,
    /// At how many addresses a call is tried that surely did not run.
    #[builder(default = 1)]
    pub attempts: u8,
    /// The body of every request.
    #[builder(default)]
    pub body: Bytes,
    /// The host that the calls are for, when it is not the address.
    #[builder(into)]
    pub host: Option<CompactString>,
    /// The method.
    #[builder(default = Method::POST)]
    pub method: Method,
    /// The path.
    #[builder(into)]
    pub path: CompactString,
    /// How many calls are sent in a second.
    pub rate: PerSecond,
    /// For how long calls are sent.
    pub span: Span,
    /// How long an answer may take.
    #[builder(default = Span::seconds(10))]
    pub timeout: Span,
}

impl Load {
    /// Sends the calls until their span or `end` comes, and waits for all answers.
    ///
    /// Must be run on a thread of an `actix` system.
    pub async fn run(self, end: CancellationToken) -> Report {
        let total = u64::from(self.rate.get()) * self.span.get() / 1_000;
        let calls = Rc::new(self.calls());
        let mut running: JoinSet<Done> = JoinSet::new();
        let mut report = Report::default();
        let mut ticks = interval(TICK);
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
            while let Some(Ok(done)) = running.try_join_next() {
                report.count_done(done);
            }
        }
        for done in running.join_all().await {
            report.count_done(done);
        }
        report
    }

    /// Returns when call `number` is due, counted from the first.
    fn due(&self, number: u64) -> Duration {
        Duration::from_secs_f64(number as f64 / f64::from(self.rate.get()))
    }

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
