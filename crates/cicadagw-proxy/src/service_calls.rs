//! Counts the calls in flight of local callers by service.
//!
//! The load that this answers: calls to one service that fill all connections of a node, so that
//! there is none left for calls to other services.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use cicadagw_unit::id;

/// The calls in flight of local callers, by service.
#[derive(Debug)]
pub(crate) struct ServiceCalls {
    max: usize,
    in_flight: RefCell<BTreeMap<id::Service, usize>>,
}

/// A call in flight, until this is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    calls: Rc<ServiceCalls>,
    service: id::Service,
}

impl ServiceCalls {
    /// Creates the counts, with the maximum number of calls in flight to one service.
    pub(crate) fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            max,
            in_flight: RefCell::default(),
        })
    }

    /// Counts a call to `service`; returns `None` if there are too many.
    pub(crate) fn start(self: &Rc<Self>, service: &id::Service) -> Option<Guard> {
        let mut in_flight = self.in_flight.borrow_mut();
        let number = in_flight.entry(service.clone()).or_default();
        if *number >= self.max {
            return None;
        }
        *number += 1;
        Some(Guard {
            calls: self.clone(),
            service: service.clone(),
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut in_flight = self.calls.in_flight.borrow_mut();
        if let Some(number) = in_flight.get_mut(&self.service) {
            *number -= 1;
            if *number == 0 {
                in_flight.remove(&self.service);
            }
        }
    }
}
