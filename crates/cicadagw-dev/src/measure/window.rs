//! The resources that nodes use in a window of time, by their role.

use std::collections::BTreeMap;
use std::io;
use std::time::Instant;

use cicadagw_unit::size::Bytes;
use compact_str::format_compact;

use super::figures::{Figures, mean};
use super::role::Role;
use super::sample::Sample;
use super::testbed::{Load, Testbed};
use super::wire;

/// The number of bytes in a mebibyte.
const MEBIBYTE: f64 = 1024.0 * 1024.0;

/// An open window: the readings at its beginning.
pub(crate) struct Window {
    start: Instant,
    samples: Vec<Sample>,
    load: Load,
}

/// What one node used in a window, per second.
struct Usage {
    /// The figures by name; memory is that at the end of the window.
    values: [(&'static str, f64); 8],
    /// The payload bytes sent to other regions per second.
    across_regions: f64,
    /// The calls to the platform per second.
    platform_calls: f64,
}

impl Window {
    /// Takes the readings at the beginning of a window.
    pub(crate) async fn open(testbed: &Testbed) -> io::Result<Self> {
        let mut samples = Vec::new();
        for node in &testbed.fleet.nodes {
            samples.push(Sample::take(node).await?);
        }
        Ok(Self {
            start: Instant::now(),
            samples,
            load: testbed.platform.load().await?,
        })
    }

    /// Adds what was used since the window was opened to `figures`. The names begin with `name`; those
    /// of nodes have the mean and the maximum for each role.
    pub(crate) async fn close(
        self,
        testbed: &Testbed,
        name: &str,
        figures: &mut Figures,
    ) -> io::Result<()> {
        let load = testbed.platform.load().await?.since(&self.load);
        let seconds = self.start.elapsed().as_secs_f64();
        let dumps = testbed.dumps().await?;
        let roles = dumps.iter().map(Role::from);
        let mut usages: BTreeMap<Role, Vec<Usage>> = BTreeMap::new();
        for ((node, before), role) in testbed.fleet.nodes.iter().zip(&self.samples).zip(roles) {
            let after = Sample::take(node).await?;
            usages
                .entry(role)
                .or_default()
                .push(Usage::between(before, &after, seconds));
        }
        let depth = dumps.iter().map(|dump| dump.path.len()).max();
        let calls: f64 = usages
            .values()
            .flatten()
            .map(|usage| usage.platform_calls)
            .sum();
        let across: f64 = usages
            .values()
            .flatten()
            .map(|usage| usage.across_regions)
            .sum();
        let mut add = |figure: &str, value| {
            figures.insert(format_compact!("{name}.{figure}"), value);
        };
        add("across-regions-payload-B/s", across);
        add("depth", depth.unwrap_or_default() as f64);
        add("node-platform-calls/s", calls);
        add("platform-calls/s", load.calls as f64 / seconds);
        add("platform-values-B/s", load.bytes.get() as f64 / seconds);
        for (role, usages) in &usages {
            add(&format!("{}.nodes", role.as_str()), usages.len() as f64);
            for index in 0..usages[0].values.len() {
                let values: Vec<f64> = usages.iter().map(|usage| usage.values[index].1).collect();
                let figure = usages[0].values[index].0;
                let max = values.iter().copied().fold(0.0, f64::max);
                add(&format!("{}.{figure}.mean", role.as_str()), mean(&values));
                add(&format!("{}.{figure}.max", role.as_str()), max);
            }
        }
        Ok(())
    }
}

impl Usage {
    /// Returns what a node used between two readings that are `seconds` apart.
    fn between(before: &Sample, after: &Sample, seconds: f64) -> Self {
        let (old, new) = (&before.metrics, &after.metrics);
        let bytes = |new: Bytes, old: Bytes| Bytes::new(new.get().saturating_sub(old.get()));
        let rate = |number: u64| number as f64 / seconds;
        let sent = bytes(new.sent, old.sent);
        let received = bytes(new.received, old.received);
        let sent_messages = new.sent_messages - old.sent_messages;
        let received_messages = new.received_messages - old.received_messages;
        let cpu_time = after.cpu_time.get() - before.cpu_time.get();
        Self {
            values: [
                ("sent-payload-B/s", rate(sent.get())),
                ("received-payload-B/s", rate(received.get())),
                (
                    "sent-wire-estimate-B/s",
                    rate(wire::estimate(sent, sent_messages).get()),
                ),
                (
                    "received-wire-estimate-B/s",
                    rate(wire::estimate(received, received_messages).get()),
                ),
                ("messages/s", rate(sent_messages + received_messages)),
                // One millisecond per second is a tenth of a percent of a core.
                ("processor-%", rate(cpu_time) / 10.0),
                ("resident-MiB", mebibytes(after.memory.resident)),
                ("anonymous-MiB", mebibytes(after.memory.anonymous)),
            ],
            across_regions: rate(bytes(new.across_regions, old.across_regions).get()),
            platform_calls: rate(new.platform_calls - old.platform_calls),
        }
    }
}

fn mebibytes(bytes: Bytes) -> f64 {
    bytes.get() as f64 / MEBIBYTE
}
