//! What roles use in a window of time.

use std::collections::BTreeMap;
use std::io;
use std::time::Instant;

use cicadagw_unit::size::Bytes;
use compact_str::format_compact;

use super::figures::{Figures, mean};
use super::role::Role;
use super::sample::Sample;
use super::stage::{Load, Stage};
use super::wire;

/// Bytes of a mebibyte.
const MEBIBYTE: f64 = 1024.0 * 1024.0;

/// The beginning of a window.
pub(crate) struct Window {
    start: Instant,
    samples: Vec<Sample>,
    load: Load,
}

/// What one node used in a window, for each second.
struct Use {
    values: [(&'static str, f64); 8],
    across: f64,
    platform_calls: f64,
}

impl Window {
    pub(crate) async fn open(stage: &Stage) -> io::Result<Self> {
        let mut samples = Vec::new();
        for node in &stage.fleet.nodes {
            samples.push(Sample::take(node).await?);
        }
        Ok(Self {
            start: Instant::now(),
            samples,
            load: stage.platform.load().await?,
        })
    }

    /// Adds what was used since the window was opened to `figures`, each under `name`.
    pub(crate) async fn close(
        self,
        stage: &Stage,
        name: &str,
        figures: &mut Figures,
    ) -> io::Result<()> {
        let load = stage.platform.load().await?.since(&self.load);
        let seconds = self.start.elapsed().as_secs_f64();
        let dumps = stage.dumps().await?;
        let roles = dumps.iter().map(Role::from);
        let mut uses: BTreeMap<Role, Vec<Use>> = BTreeMap::new();
        for ((node, before), role) in stage.fleet.nodes.iter().zip(&self.samples).zip(roles) {
            let after = Sample::take(node).await?;
            uses.entry(role)
                .or_default()
                .push(Use::between(before, &after, seconds));
        }
        let depth = dumps.iter().map(|dump| dump.path.len()).max();
        let calls: f64 = uses
            .values()
            .flatten()
            .map(|used| used.platform_calls)
            .sum();
        let across: f64 = uses.values().flatten().map(|used| used.across).sum();
        let mut add = |figure: &str, value| {
            figures.insert(format_compact!("{name}.{figure}"), value);
        };
        add("across-regions-payload-B/s", across);
        add("depth", depth.unwrap_or_default() as f64);
        add("node-platform-calls/s", calls);
        add("platform-calls/s", load.calls as f64 / seconds);
        add("platform-values-B/s", load.bytes.get() as f64 / seconds);
        for (role, uses) in &uses {
            add(&format!("{}.nodes", role.as_str()), uses.len() as f64);
            for index in 0..uses[0].values.len() {
                let values: Vec<f64> = uses.iter().map(|used| used.values[index].1).collect();
                let figure = uses[0].values[index].0;
                let most = values.iter().copied().fold(0.0, f64::max);
                add(&format!("{}.{figure}.mean", role.as_str()), mean(&values));
                add(&format!("{}.{figure}.max", role.as_str()), most);
            }
        }
        Ok(())
    }
}

impl Use {
    fn between(before: &Sample, after: &Sample, seconds: f64) -> Self {
        let (old, new) = (&before.meters, &after.meters);
        let bytes = |new: Bytes, old: Bytes| Bytes::new(new.get().saturating_sub(old.get()));
        let rate = |number: u64| number as f64 / seconds;
        let sent = bytes(new.sent, old.sent);
        let received = bytes(new.received, old.received);
        let sent_messages = new.sent_messages - old.sent_messages;
        let received_messages = new.received_messages - old.received_messages;
        let processor = after.processor.get() - before.processor.get();
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
                // Milliseconds in a second are a tenth of a percent of a core each.
                ("processor-%", rate(processor) / 10.0),
                ("resident-MiB", mebibytes(after.memory.resident)),
                ("anonymous-MiB", mebibytes(after.memory.anonymous)),
            ],
            across: rate(bytes(new.across_regions, old.across_regions).get()),
            platform_calls: rate(new.platform_calls - old.platform_calls),
        }
    }
}

fn mebibytes(bytes: Bytes) -> f64 {
    bytes.get() as f64 / MEBIBYTE
}
