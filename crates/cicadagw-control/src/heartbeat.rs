//! Signs of life: beats to the children and reports to the parent.

use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::{Down, Report, Up};
use rand::RngExt;

use crate::{Core, status};

/// The least time between two reports to the parent that are not heartbeats.
const REPORT_GAP: Span = Span::new(200);

impl Core {
    pub(crate) fn report(&self) -> Report {
        status::report(
            &self.identity,
            &self.holder,
            self.registry.is_serving(),
            &self.children,
        )
    }

    pub(crate) fn send_signs_of_life(&mut self, now: Timestamp) {
        let period = self.settings.timing.heartbeat;
        if now.since(self.beat) >= period {
            // Beats of nodes that were started together fall apart by and by.
            let early = self.random.random_range(0..=period.get() / 8);
            self.beat = Timestamp::new(now.get().saturating_sub(early));
            self.down(
                self.children.sessions(),
                Down::Heartbeat(self.holder.stamp()),
            );
        }
        let (at, last) = &self.reported;
        let since = now.since(*at);
        let changed = since >= REPORT_GAP && last.as_ref() != Some(&self.report());
        if changed || since >= period {
            self.send_report(now);
        }
    }

    pub(crate) fn send_report(&mut self, now: Timestamp) {
        let report = self.report();
        self.reported = (now, Some(report.clone()));
        self.up(Up::Report(Box::new(report)));
    }
}
