//! The load of a backend server.

use std::fmt;
use std::str::FromStr;

use cicadagw_unit::Error;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::size::Slots;

/// The load of a backend server, as its node reports it with every response. The text form is
/// `in_flight/slots`, followed by `/pace` if the pace is known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The number of calls that run or are queued.
    pub in_flight: Slots,
    /// How long work takes on the backend server's host at the moment, relative to the usual time;
    /// above the whole, it is slower than usual.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<Permille>,
    /// The number of calls that the backend server runs concurrently.
    pub slots: Slots,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.in_flight, self.slots)?;
        match self.pace {
            Some(pace) => write!(f, "/{}", pace.get()),
            None => Ok(()),
        }
    }
}

impl FromStr for Load {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || {
            Error::new(
                "load",
                text,
                "calls in flight, slots and perhaps a pace in thousandths, separated by `/`, such \
                 as `3/10` or `3/10/2500`",
            )
        };
        let (in_flight, rest) = text.split_once('/').ok_or_else(error)?;
        let (slots, pace) = match rest.split_once('/') {
            Some((slots, pace)) => (slots, Some(pace.parse::<u16>().map_err(|_| error())?)),
            None => (rest, None),
        };
        Ok(Self {
            in_flight: in_flight.parse().map_err(|_| error())?,
            pace: pace.map(Permille::new),
            slots: slots.parse().map_err(|_| error())?,
        })
    }
}
