//! Identity of a node.

use std::net::SocketAddr;

use cicadagw_settings::Settings;
use cicadagw_unit::id;
use cicadagw_wire::Member;

/// Name, addresses and location of a node.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Identity {
    /// Address at which it accepts proxied calls.
    pub calls: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Its name, rack and link address, as peers know them.
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
