//! Client accounts: the callers that present a key, and what they may ask for.

use std::collections::BTreeSet;

use cicadagw_unit::Digest;
use cicadagw_unit::rate::{Burst, CallRate, Priority};

/// A client account.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// The digests of the keys that its callers present.
    pub keys: BTreeSet<KeyDigest>,
    /// The priority of its calls; without one, each call has the priority of its policy.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// The limit on its calls over all nodes together; without one, there is no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

/// The digest of an account's key. Configurations contain no key in plain text, so none can get into
/// a message, a log or a dump, and the time of a comparison tells nothing about a key.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(transparent)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Returns the digest of a key as callers present it.
    pub fn of(key: &[u8]) -> Self {
        Self(Digest::from_hash(blake3::hash(key).as_bytes()))
    }
}

impl std::fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for KeyDigest {
    type Err = cicadagw_unit::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A limit on the calls of an account: a token bucket over all nodes together.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// How many calls may be made at once beyond the rate.
    pub burst: Burst,
    /// The sustained rate of calls.
    pub rate: CallRate,
}
