//! Reports about a node and its descendants, and the status that a root writes to the platform.

use cicadagw_platform::{Condition, Key};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::report::LAGGARDS_MAX;
use cicadagw_wire::{Laggard, Reason, Report, Status};

use crate::Identity;
use crate::adopt::Snapshots;
use crate::children::Children;
use crate::platform::{Call, Purpose, Request};

/// How often a root writes an unchanged status.
const REFRESH_INTERVAL: Span = Span::seconds(10);

/// Returns the aggregated state of this node and its descendants in the failure domain.
pub(crate) fn report(
    identity: &Identity,
    snapshots: &Snapshots,
    serving: bool,
    children: &Children,
) -> Report {
    let held = snapshots.stamp().version;
    let mut report = Report {
        lowest: held,
        count: 1,
        serving: u32::from(serving),
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
    for (member, below) in children.reports(&identity.domain) {
        report.lowest = report.lowest.min(below.lowest);
        report.count += below.count;
        report.serving += below.serving;
        report.laggards.extend(below.laggards.iter().cloned());
        if below.laggards.is_empty() && below.lowest < held {
            // The child has not yet reported on the version held here.
            report.laggards.push(Laggard {
                node: member.node.clone(),
                held: below.lowest,
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
    last: Option<(Timestamp, Report)>,
    written: u64,
    in_flight: bool,
}

impl Writer {
    /// Returns the write that is due, if any.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        identity: &Identity,
        snapshots: &Snapshots,
        report: &Report,
        period: Span,
    ) -> Option<Call> {
        let due = match &self.last {
            None => true,
            Some((at, last)) => {
                let since = now.since(*at);
                since >= REFRESH_INTERVAL || (since >= period && last != report)
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

    /// Processes the answer to a write; a failed write is retried.
    pub(crate) fn reply(&mut self, success: bool) {
        self.in_flight = false;
        if !success && let Some((_, report)) = &mut self.last {
            // No real report counts zero nodes, so the next tick sees a change and writes again.
            report.count = 0;
        }
    }

    /// Forgets what was written, since another root may overwrite it; used while the node is not a
    /// root.
    pub(crate) fn reset(&mut self) {
        self.last = None;
    }
}

/// Returns a call that writes `value` unconditionally.
pub(crate) fn write(purpose: Purpose, key: Key, value: &impl serde::Serialize) -> Call {
    let request = Request::Put {
        key,
        value: serde_json::to_vec(value).expect("an object always has a JSON representation"),
        condition: Condition::Always,
    };
    Call { purpose, request }
}
