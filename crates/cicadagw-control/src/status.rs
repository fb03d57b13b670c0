//! How a part of the tree stands, and the objects that a root writes about it.

use cicadagw_platform::{Condition, Key};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::report::LAGGARDS_MAX;
use cicadagw_wire::{Laggard, Reason, Report, Status};

use crate::Identity;
use crate::adopt::Holder;
use crate::links::Children;
use crate::platform::{Call, Purpose, Request};

/// How often a root writes the status although nothing changed.
const REFRESH: Span = Span::seconds(10);

/// Returns how this node and those below it in its failure domain stand.
pub(crate) fn report(
    identity: &Identity,
    holder: &Holder,
    serving: bool,
    children: &Children,
) -> Report {
    let held = holder.stamp().version;
    let mut report = Report {
        lowest: held,
        count: 1,
        serving: u32::from(serving),
        laggards: smallvec::SmallVec::new(),
    };
    let refusal = holder
        .refusal()
        .map(|(_, reason)| Reason::Refused(reason.as_str().into()));
    let behind = (holder.highest_seen() > held).then_some(Reason::Behind);
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
            // It has not yet said anything about the version held here.
            report.laggards.push(Laggard {
                node: member.node.clone(),
                held: below.lowest,
                reason: Reason::Behind,
            });
        }
    }
    // Those that are furthest behind are named first.
    report.laggards.sort_by_key(|laggard| laggard.held);
    report.laggards.truncate(LAGGARDS_MAX);
    report
}

/// Writes the status of a failure domain at a bounded rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writer {
    last: Option<(Timestamp, Report)>,
    written: u64,
    in_flight: bool,
}

impl Writer {
    /// Returns the write that is due, if there is one.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        identity: &Identity,
        holder: &Holder,
        report: &Report,
        period: Span,
    ) -> Option<Call> {
        let due = match &self.last {
            None => true,
            Some((at, last)) => {
                let since = now.since(*at);
                since >= REFRESH || (since >= period && last != report)
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
            newest: holder.highest_seen(),
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

    /// Takes the answer to a write; a failed one is tried again.
    pub(crate) fn reply(&mut self, success: bool) {
        self.in_flight = false;
        if !success && let Some((_, report)) = &mut self.last {
            // A report that cannot be: the next look finds a change.
            report.count = 0;
        }
    }

    /// Forgets what was written, since another root may write; for a node that is no root.
    pub(crate) fn reset(&mut self) {
        self.last = None;
    }
}

/// Returns an unconditional write of `value`.
pub(crate) fn write(purpose: Purpose, key: Key, value: &impl serde::Serialize) -> Call {
    let request = Request::Put {
        key,
        value: serde_json::to_vec(value).expect("an object can be written as JSON"),
        condition: Condition::Always,
    };
    Call { purpose, request }
}
