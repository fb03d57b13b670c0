//! A bound on the calls in flight to each service.
//!
//! The load that this answers: slow calls to one service that fill all connections of a node, so that
//! there is none left for calls to other services.

use std::collections::BTreeMap;

use cicadagw_unit::id;

/// Counts the calls in flight of local callers by service.
#[derive(Clone, Debug)]
pub struct Bulkhead {
    max: usize,
    in_flight: BTreeMap<id::Service, usize>,
}

impl Bulkhead {
    /// Creates empty counts, with the maximum number of calls in flight to one service.
    pub const fn new(max: usize) -> Self {
        Self {
            max,
            in_flight: BTreeMap::new(),
        }
    }

    /// Counts a call to `service` unless there are too many; returns whether it is counted.
    pub fn start(&mut self, service: &id::Service) -> bool {
        let number = self.in_flight.get(service).copied().unwrap_or(0);
        if number >= self.max {
            return false;
        }
        self.in_flight.insert(service.clone(), number + 1);
        true
    }

    /// Counts a call to `service` as ended.
    pub fn end(&mut self, service: &id::Service) {
        if let Some(number) = self.in_flight.get_mut(service) {
            *number -= 1;
            if *number == 0 {
                self.in_flight.remove(service);
            }
        }
    }
}
