//! Who a node is.

use std::net::SocketAddr;

use cicadagw_settings::Settings;
use cicadagw_unit::id;
use cicadagw_wire::Member;

/// Who a node is and where it stands.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Identity {
    /// Where it takes calls.
    pub calls: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// How its peers know it.
    pub member: Member,
    /// Its region.
    pub region: id::Region,
}

impl From<&Settings> for Identity {
    fn from(settings: &Settings) -> Self {
        Self {
            calls: settings.calls,
            domain: settings.domain.clone(),
            member: Member {
                link: settings.link,
                node: settings.node.clone(),
                rack: settings.rack.clone(),
            },
            region: settings.region.clone(),
        }
    }
}
