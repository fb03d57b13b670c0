//! Heartbeats to the children, and reports to the parent, which also serve as heartbeats.

use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::{Down, Report, Up};
use rand::RngExt;

use crate::{Core, status};

/// Minimum time between two reports to the parent when the report has changed.
const REPORT_INTERVAL_MIN: Span = Span::new(200);

impl Core {
    /// Returns the aggregated state of this node and its descendants in the failure domain.
    pub(crate) fn report(&self) -> Report {
        status::report(
            &self.identity,
            &self.snapshots,
            self.registry.is_serving(),
            &self.children,
        )
    }

    /// Sends the heartbeats and the report that are due.
    pub(crate) fn send_heartbeats(&mut self, now: Timestamp) {
        let interval = self.settings.timing.heartbeat;
        if now.since(self.last_heartbeat) >= interval {
            // Jitter keeps nodes that were started together from sending their heartbeats together.
            let jitter = self.rng.random_range(0..=interval.get() / 8);
            self.last_heartbeat = Timestamp::new(now.get().saturating_sub(jitter));
            self.send_down(
                self.children.sessions(),
                Down::Heartbeat(self.snapshots.stamp()),
            );
        }
        let (at, last) = &self.last_report;
        let since = now.since(*at);
        let changed = since >= REPORT_INTERVAL_MIN && last.as_ref() != Some(&self.report());
        if changed || since >= interval {
            self.send_report(now);
        }
    }

    /// Sends the report to the parent.
    pub(crate) fn send_report(&mut self, now: Timestamp) {
        let report = self.report();
        self.last_report = (now, Some(report.clone()));
        self.send_up(Up::Report(Box::new(report)));
    }
}
