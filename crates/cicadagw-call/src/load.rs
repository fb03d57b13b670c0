//! How busy a backend server is.

use std::fmt;
use std::str::FromStr;

use cicadagw_unit::Error;
use cicadagw_unit::size::Slots;

/// The load of a backend server, as the node before it tells it with every answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// How many calls it runs or has waiting.
    pub in_flight: Slots,
    /// How many calls it runs at once.
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
