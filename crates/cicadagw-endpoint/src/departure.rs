//! Departures of backend servers, which outlive the process of the node beside them.

use cicadagw_unit::id;
use smallvec::SmallVec;

/// How many departures from one host are kept; beyond that, the oldest one is dropped.
const DEPARTURES_MAX: usize = 4;

/// A start of a backend server that has said that it leaves.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(id::Endpoint, u64)", into = "(id::Endpoint, u64)")]
pub struct Departure {
    /// Its endpoint id.
    pub endpoint: id::Endpoint,
    /// When it started, in milliseconds since the Unix epoch. An earlier start under the same id
    /// has left as well, and a later one has not.
    pub started_ms: u64,
}

/// The last departures from one host, oldest first.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "Vec<Departure>", into = "Vec<Departure>")]
pub struct Departures(SmallVec<[Departure; 1]>);

impl Departures {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether the start of a backend server has left.
    pub fn contains(&self, endpoint: &id::Endpoint, started_ms: u64) -> bool {
        let mut departures = self.0.iter();
        departures.any(|known| known.endpoint == *endpoint && known.started_ms >= started_ms)
    }

    /// Returns the departure of the last start of an endpoint that has left.
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<&Departure> {
        self.0.iter().find(|known| known.endpoint == *endpoint)
    }

    /// Adds a departure as the last one; returns whether it was new.
    pub fn record(&mut self, departure: &Departure) -> bool {
        if self.contains(&departure.endpoint, departure.started_ms) {
            return false;
        }
        self.0.retain(|known| known.endpoint != departure.endpoint);
        self.0.push(departure.clone());
        if self.0.len() > DEPARTURES_MAX {
            self.0.remove(0);
        }
        true
    }

    /// Adds the departures of `earlier` before those that are known; returns whether any is added.
    pub fn restore(&mut self, earlier: &Self) -> bool {
        let mut all = earlier.missing_from(self);
        for departure in &self.0 {
            all.record(departure);
        }
        let has_changed = all != *self;
        *self = all;
        has_changed
    }

    /// Returns the departures that `other` does not contain.
    pub fn missing_from(&self, other: &Self) -> Self {
        let missing = |known: &&Departure| !other.contains(&known.endpoint, known.started_ms);
        Self(self.0.iter().filter(missing).cloned().collect())
    }

    /// Returns the departures, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Departure> {
        self.0.iter()
    }
}

impl From<Vec<Departure>> for Departures {
    /// Keeps the last departures of a list, which may come from another writer.
    fn from(list: Vec<Departure>) -> Self {
        let mut departures = Self::default();
        for departure in &list {
            departures.record(departure);
        }
        departures
    }
}

impl From<Departures> for Vec<Departure> {
    fn from(departures: Departures) -> Self {
        departures.0.into_vec()
    }
}

impl From<(id::Endpoint, u64)> for Departure {
    fn from((endpoint, started_ms): (id::Endpoint, u64)) -> Self {
        Self {
            endpoint,
            started_ms,
        }
    }
}

impl From<Departure> for (id::Endpoint, u64) {
    fn from(departure: Departure) -> Self {
        (departure.endpoint, departure.started_ms)
    }
}
