//! The load of a backend server.

use std::fmt;
use std::str::FromStr;

use cicadagw_unit::Error;
use cicadagw_unit::size::Slots;

/// The load of a backend server, as its node reports it with every response. The text form is
/// `in_flight/slots`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The number of calls that run or are queued.
    pub in_flight: Slots,
    /// The number of calls that the backend server runs concurrently.
    pub slots: Slots,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.in_flight, self.slots)
    }
}

impl FromStr for Load {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || {
            Error::new(
                "load",
                text,
                "calls in flight, `/` and slots, such as `3/10`",
            )
        };
        let (in_flight, slots) = text.split_once('/').ok_or_else(error)?;
        Ok(Self {
            in_flight: in_flight.parse().map_err(|_| error())?,
            slots: slots.parse().map_err(|_| error())?,
        })
    }
}
