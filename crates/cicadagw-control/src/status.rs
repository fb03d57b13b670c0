//! Reports about a node and its descendants, and the status that a root writes to the platform.

use cicadagw_platform::{Condition, Key};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::report::LAGGARDS_MAX;
use cicadagw_wire::{Laggard, Reason, Report, Status};

use crate::Identity;
use crate::adopt::Snapshots;
use crate::children::Children;
use crate::platform::{Call, Purpose, Request};

/// Interval at which a root writes an unchanged status.
const REFRESH_INTERVAL: Span = Span::seconds(10);

/// Returns the aggregated state of this node and its descendants in the failure domain.
/// `has_backend` says whether this node has a backend server that is not gone.
pub(crate) fn report(
    identity: &Identity,
    snapshots: &Snapshots,
    has_backend: bool,
    children: &Children,
) -> Report {
    let held = snapshots.stamp().version;
    let mut report = Report {
        lowest: held,
        count: 1,
        serving: u32::from(has_backend),
        laggards: smallvec::SmallVec::new(),
    };
    let refusal = snapshots
        .refusal()
        .map(|(_, reason)| Reason::Refused(reason.as_str().into()));
    let behind = (snapshots.highest_seen() > held).then_some(Reason::Behind);
    if let Some(reason) = refusal.or(behind) {
        report.laggards.push(Laggard {
            node: identity.member.node.clone(),
            held,
            reason,
        });
    }
    for (member, child_report) in children.reports(&identity.domain) {
        report.lowest = report.lowest.min(child_report.lowest);
        report.count += child_report.count;
        report.serving += child_report.serving;
        report
            .laggards
            .extend(child_report.laggards.iter().cloned());
        if child_report.laggards.is_empty() && child_report.lowest < held {
            // The child has not yet reported this node's current version.
            report.laggards.push(Laggard {
                node: member.node.clone(),
                held: child_report.lowest,
                reason: Reason::Behind,
            });
        }
    }
    // The nodes that are furthest behind are named first.
    report.laggards.sort_by_key(|laggard| laggard.held);
    report.laggards.truncate(LAGGARDS_MAX);
    report
}

/// Writes the status of a failure domain when it has changed, at a bounded rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writer {
    /// When the status was last written, and the report in it.
    last: Option<(Timestamp, Report)>,
    /// Number of statuses written by this process.
    written: u64,
    in_flight: bool,
}

impl Writer {
    /// Returns the write that is due, if any: a changed status is written after `min_interval`, an
    /// unchanged one after [`REFRESH_INTERVAL`].
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        identity: &Identity,
        snapshots: &Snapshots,
        report: &Report,
        min_interval: Span,
    ) -> Option<Call> {
        let due = match &self.last {
            None => true,
            Some((at, last)) => {
                let since = now.since(*at);
                since >= REFRESH_INTERVAL || (since >= min_interval && last != report)
            }
        };
        if self.in_flight || !due {
            return None;
        }
        self.in_flight = true;
        self.last = Some((now, report.clone()));
        self.written += 1;
        let status = Status {
            domain: identity.domain.clone(),
            newest: snapshots.highest_seen(),
            report: report.clone(),
            root: identity.member.node.clone(),
            written: self.written,
        };
        Some(write(
            Purpose::Status,
            Key::status(&identity.domain),
            &status,
        ))
    }

    /// Processes the response to a write; a failed write is retried.
    pub(crate) fn reply(&mut self, is_success: bool) {
        self.in_flight = false;
        if !is_success && let Some((_, report)) = &mut self.last {
            // No real report counts zero nodes, so the status counts as changed and is written
            // again once `min_interval` has passed.
            report.count = 0;
        }
    }

    /// Forgets what was written, since another root may overwrite it; used while the node is not a
    /// root.
    pub(crate) fn reset(&mut self) {
        self.last = None;
    }
}

/// Returns a request that writes `value` unconditionally.
pub(crate) fn write(purpose: Purpose, key: Key, value: &impl serde::Serialize) -> Call {
    let request = Request::Put {
        key,
        value: serde_json::to_vec(value).expect("a status or directory serializes to JSON"),
        condition: Condition::Always,
    };
    Call { purpose, request }
}
