//! Figures from the metrics of nodes.

use std::net::SocketAddr;

use cicadagw_unit::Version;
use cicadagw_unit::size::Bytes;

use crate::http;

/// The metric of the version held.
const HELD: &str = "cicadagw_version_held";

/// The metric of the bytes sent to other nodes.
const SENT: &str = "cicadagw_control_sent_bytes_total";

/// What the label of messages between regions looks like.
const ACROSS: &str = "reach=\"across-regions\"";

/// Figures of one node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Meters {
    /// The version held.
    pub held: Version,
    /// The bytes sent to other nodes.
    pub sent: Bytes,
    /// Those of them that were sent to another region.
    pub across: Bytes,
}

impl Meters {
    /// Asks the node whose admin pages are at `admin`.
    ///
    /// # Errors
    ///
    /// When the node does not answer.
    pub async fn read(admin: SocketAddr) -> Result<Self, http::Error> {
        http::get(admin, "/metrics")
            .await
            .map(|text| Self::of(&text))
    }

    /// Takes the figures from the text of a metrics page.
    pub fn of(text: &str) -> Self {
        let mut meters = Self::default();
        for line in text.lines() {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let Ok(value) = value.parse() else {
                continue;
            };
            if name == HELD {
                meters.held = Version::new(value);
            } else if name.starts_with(SENT) {
                meters.sent = meters.sent.plus(Bytes::new(value));
                if name.contains(ACROSS) {
                    meters.across = meters.across.plus(Bytes::new(value));
                }
            }
        }
        meters
    }
}
