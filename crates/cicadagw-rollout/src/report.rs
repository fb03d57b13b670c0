//! Reports of the nodes beside a service's backend servers.
//!
//! All calls to a backend server pass through the node on its host, so a few reports cover the calls
//! of all nodes.

use cicadagw_unit::id;
use cicadagw_unit::time::Span;
use smallvec::SmallVec;

/// How many policies a report names, so that it fits a datagram.
const POLICIES_MAX: usize = 6;

/// The longest work time of one answer.
const WORK_MAX: Span = Span::seconds(600);

/// Counts of the calls to a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(u64, u64, u64, u64, u64)", into = "(u64, u64, u64, u64, u64)")]
pub struct Tally {
    /// Calls that were sent.
    pub sent: u64,
    /// Calls that ended with an answer or a failure.
    pub ended: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that were answered by a backend server that had warmed up.
    pub warm: u64,
    /// The work time of the warm ones, in milliseconds.
    pub work_ms: u64,
}

/// What a node reports about the backend server on its host while a rollout of its service goes on.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// The endpoint of the backend server.
    pub endpoint: id::Endpoint,
    /// How many calls it runs.
    pub in_flight: u32,
    /// The counts of the policies with the most calls.
    pub policies: SmallVec<[(id::Policy, Tally); 4]>,
    /// Whether the node refuses new calls to it.
    pub refuses: bool,
    /// The release that it runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<id::Release>,
    /// The service.
    pub service: id::Service,
    /// When the order was noticed, which identifies the rollout that the counts belong to.
    pub started_ms: u64,
    /// The counts of all calls.
    pub total: Tally,
}

impl Tally {
    /// Counts a call that is sent.
    pub const fn send(&mut self) {
        self.sent += 1;
    }

    /// Counts an answer; `work` is the time that a warm backend server took for it.
    pub fn answer(&mut self, work: Option<Span>) {
        self.ended += 1;
        if let Some(work) = work {
            self.warm += 1;
            self.work_ms += work.min(WORK_MAX).get();
        }
    }

    /// Counts a failure.
    pub const fn fail(&mut self) {
        self.ended += 1;
        self.failed += 1;
    }

    /// Returns the sum of two counts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent.saturating_add(other.sent),
            ended: self.ended.saturating_add(other.ended),
            failed: self.failed.saturating_add(other.failed),
            warm: self.warm.saturating_add(other.warm),
            work_ms: self.work_ms.saturating_add(other.work_ms),
        }
    }

    /// Returns what was counted since `earlier`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            warm: self.warm.saturating_sub(earlier.warm),
            work_ms: self.work_ms.saturating_sub(earlier.work_ms),
        }
    }
}

impl Report {
    /// Keeps the policies with the most calls, so that the report fits a datagram.
    pub fn shorten(&mut self) {
        self.policies
            .sort_by_key(|(_, tally)| std::cmp::Reverse(tally.sent));
        self.policies.truncate(POLICIES_MAX);
    }
}

impl From<(u64, u64, u64, u64, u64)> for Tally {
    fn from((sent, ended, failed, warm, work_ms): (u64, u64, u64, u64, u64)) -> Self {
        Self {
            sent,
            ended,
            failed,
            warm,
            work_ms,
        }
    }
}

impl From<Tally> for (u64, u64, u64, u64, u64) {
    fn from(tally: Tally) -> Self {
        (
            tally.sent,
            tally.ended,
            tally.failed,
            tally.warm,
            tally.work_ms,
        )
    }
}
