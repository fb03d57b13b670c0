//! Heartbeats: beats to the children and reports to the parent.

use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::{Down, Report, Up};
use rand::RngExt;

use crate::{Core, status};

/// Minimum time between two reports to the parent when the report has changed.
const REPORT_INTERVAL_MIN: Span = Span::new(200);

impl Core {
    pub(crate) fn report(&self) -> Report {
        status::report(
            &self.identity,
            &self.snapshots,
            self.registry.is_serving(),
            &self.children,
        )
    }

    pub(crate) fn send_heartbeats(&mut self, now: Timestamp) {
        let period = self.settings.timing.heartbeat;
        if now.since(self.beat) >= period {
            // Jitter keeps nodes that were started together from sending their beats together.
            let jitter = self.random.random_range(0..=period.get() / 8);
            self.beat = Timestamp::new(now.get().saturating_sub(jitter));
            self.down(
                self.children.sessions(),
                Down::Heartbeat(self.snapshots.stamp()),
            );
        }
        let (at, last) = &self.last_report;
        let since = now.since(*at);
        let changed = since >= REPORT_INTERVAL_MIN && last.as_ref() != Some(&self.report());
        if changed || since >= period {
            self.send_report(now);
        }
    }

    pub(crate) fn send_report(&mut self, now: Timestamp) {
        let report = self.report();
        self.last_report = (now, Some(report.clone()));
        self.up(Up::Report(Box::new(report)));
    }
}
