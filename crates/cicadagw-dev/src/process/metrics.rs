//! Values read from the metrics page of a node.

use std::net::SocketAddr;

use cicadagw_unit::Version;
use cicadagw_unit::size::Bytes;

use crate::http;

/// The gauge of the configuration version that the node holds.
const HELD_VERSION: &str = "cicadagw_version_held";

/// The counter of bytes sent to other nodes.
const SENT: &str = "cicadagw_control_sent_bytes_total";

/// The counter of bytes received from other nodes.
const RECEIVED: &str = "cicadagw_control_received_bytes_total";

/// The counter of messages sent to other nodes.
const SENT_MESSAGES: &str = "cicadagw_control_sent_messages_total";

/// The counter of messages received from other nodes.
const RECEIVED_MESSAGES: &str = "cicadagw_control_received_messages_total";

/// The counter of calls to the platform.
const PLATFORM_CALLS: &str = "cicadagw_platform_calls_total";

/// The label of messages between regions.
const ACROSS_REGIONS: &str = "reach=\"across-regions\"";

/// Values of the metrics of one node; counters are summed over their labels.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Metrics {
    /// The configuration version that the node holds.
    pub held_version: Version,
    /// Bytes sent to other nodes.
    pub sent: Bytes,
    /// Bytes received from other nodes.
    pub received: Bytes,
    /// Bytes sent and received on links between regions. Only the parent's end of a link counts
    /// them.
    pub across_regions: Bytes,
    /// Messages sent to other nodes.
    pub sent_messages: u64,
    /// Messages received from other nodes.
    pub received_messages: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
}

impl Metrics {
    /// Reads the metrics page of the node with the admin address `admin`.
    ///
    /// # Errors
    ///
    /// Fails if the page cannot be read.
    pub async fn read(admin: SocketAddr) -> Result<Self, http::Error> {
        http::get(admin, "/metrics")
            .await
            .map(|text| Self::parse(&text))
    }

    /// Parses the text of a metrics page. Other metrics, and lines whose value is not a whole
    /// number, are skipped.
    pub fn parse(text: &str) -> Self {
        let mut metrics = Self::default();
        for line in text.lines() {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let Ok(value) = value.parse() else {
                continue;
            };
            metrics.record(name, value);
        }
        metrics
    }

    /// Records a sample; `name` is the metric name with its labels.
    fn record(&mut self, name: &str, value: u64) {
        let metric = name.split('{').next().unwrap_or(name);
        match metric {
            HELD_VERSION => self.held_version = Version::new(value),
            SENT => self.sent = self.sent.plus(Bytes::new(value)),
            RECEIVED => self.received = self.received.plus(Bytes::new(value)),
            SENT_MESSAGES => self.sent_messages += value,
            RECEIVED_MESSAGES => self.received_messages += value,
            PLATFORM_CALLS => self.platform_calls += value,
            _ => {}
        }
        if matches!(metric, SENT | RECEIVED) && name.contains(ACROSS_REGIONS) {
            self.across_regions = self.across_regions.plus(Bytes::new(value));
        }
    }
}
