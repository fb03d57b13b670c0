//! Figures from the metrics of nodes.

use std::net::SocketAddr;

use cicadagw_unit::Version;
use cicadagw_unit::size::Bytes;

use crate::http;

/// The metric of the version held.
const HELD: &str = "cicadagw_version_held";

/// The metric of the bytes sent to other nodes.
const SENT: &str = "cicadagw_control_sent_bytes_total";

/// The metric of the bytes received from other nodes.
const RECEIVED: &str = "cicadagw_control_received_bytes_total";

/// The metric of the messages sent to other nodes.
const SENT_MESSAGES: &str = "cicadagw_control_sent_messages_total";

/// The metric of the messages received from other nodes.
const RECEIVED_MESSAGES: &str = "cicadagw_control_received_messages_total";

/// The metric of the calls to the platform.
const PLATFORM: &str = "cicadagw_platform_calls_total";

/// What the label of messages between regions looks like.
const ACROSS: &str = "reach=\"across-regions\"";

/// Figures of one node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Metrics {
    /// The version held.
    pub held_version: Version,
    /// The bytes sent to other nodes.
    pub sent: Bytes,
    /// The bytes received from other nodes.
    pub received: Bytes,
    /// Those of both that crossed the link between regions, counted at the parent's end.
    pub across_regions: Bytes,
    /// The messages sent to other nodes.
    pub sent_messages: u64,
    /// The messages received from other nodes.
    pub received_messages: u64,
    /// The calls to the platform.
    pub platform_calls: u64,
}

impl Metrics {
    /// Asks the node whose admin pages are at `admin`.
    ///
    /// # Errors
    ///
    /// When the node does not answer.
    pub async fn read(admin: SocketAddr) -> Result<Self, http::Error> {
        http::get(admin, "/metrics")
            .await
            .map(|text| Self::parse(&text))
    }

    /// Takes the figures from the text of a metrics page.
    pub fn parse(text: &str) -> Self {
        let mut meters = Self::default();
        for line in text.lines() {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let Ok(value) = value.parse() else {
                continue;
            };
            meters.take(name, value);
        }
        meters
    }

    fn take(&mut self, name: &str, value: u64) {
        let metric = name.split('{').next().unwrap_or(name);
        match metric {
            HELD => self.held_version = Version::new(value),
            SENT => self.sent = self.sent.plus(Bytes::new(value)),
            RECEIVED => self.received = self.received.plus(Bytes::new(value)),
            SENT_MESSAGES => self.sent_messages += value,
            RECEIVED_MESSAGES => self.received_messages += value,
            PLATFORM => self.platform_calls += value,
            _ => {}
        }
        if matches!(metric, SENT | RECEIVED) && name.contains(ACROSS) {
            self.across_regions = self.across_regions.plus(Bytes::new(value));
        }
    }
}
