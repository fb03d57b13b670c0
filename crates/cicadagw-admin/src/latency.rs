//! The histogram of added latency, as a Prometheus collector.
//!
//! OpenTelemetry has no histogram that is observed on demand, so this one is registered with
//! Prometheus directly.

use std::collections::HashMap;
use std::sync::Arc;

use cicadagw_meter::BOUNDS_MICROS;
use cicadagw_proxy::Stats;
use prometheus::core::{Collector, Desc};
use prometheus::proto::{Bucket, Histogram, Metric, MetricFamily, MetricType};

/// The name of the histogram.
const NAME: &str = "cicadagw_call_added_latency_seconds";

/// The help text of the histogram.
const HELP: &str = "Time that this node added to answered calls";

/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Collects the histogram of the latency that this node added to answered calls.
pub(crate) struct LatencyCollector {
    desc: Desc,
    calls: Arc<Stats>,
}

impl LatencyCollector {
    pub(crate) fn new(calls: Arc<Stats>) -> Result<Self, prometheus::Error> {
        let desc = Desc::new(NAME.into(), HELP.into(), Vec::new(), HashMap::default())?;
        Ok(Self { desc, calls })
    }
}

impl Collector for LatencyCollector {
    fn desc(&self) -> Vec<&Desc> {
        vec![&self.desc]
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let mut metric = Metric::default();
        metric.set_histogram(histogram(&self.calls));
        let mut family = MetricFamily::default();
        family.set_name(NAME.into());
        family.set_help(HELP.into());
        family.set_field_type(MetricType::HISTOGRAM);
        family.set_metric(vec![metric]);
        vec![family]
    }
}

/// Converts the histogram in `calls` to its Prometheus form, in seconds and cumulative.
fn histogram(calls: &Stats) -> Histogram {
    let latency = calls.latency();
    let mut cumulative = 0;
    let buckets = BOUNDS_MICROS
        .iter()
        .zip(&latency.buckets)
        .map(|(bound, count)| {
            cumulative += count;
            let mut bucket = Bucket::default();
            bucket.set_upper_bound(*bound as f64 / MICROS_PER_SECOND);
            bucket.set_cumulative_count(cumulative);
            bucket
        })
        .collect();
    let mut histogram = Histogram::default();
    histogram.set_bucket(buckets);
    histogram.set_sample_count(latency.count());
    histogram.set_sample_sum(latency.sum_micros as f64 / MICROS_PER_SECOND);
    histogram
}
