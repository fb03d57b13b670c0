//! The calls in flight of local callers, bounded for each service.

use std::cell::RefCell;
use std::rc::Rc;

use cicadagw_call::Bulkhead;
use cicadagw_unit::id;

/// The calls in flight of local callers, by service.
#[derive(Debug)]
pub(crate) struct ServiceCalls(RefCell<Bulkhead>);

/// A call in flight, until this is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    calls: Rc<ServiceCalls>,
    service: id::Service,
}

impl ServiceCalls {
    /// Creates the counts, with the maximum number of calls in flight to one service.
    pub(crate) fn new(max: usize) -> Rc<Self> {
        Rc::new(Self(RefCell::new(Bulkhead::new(max))))
    }

    /// Counts a call to `service`; returns `None` if there are too many.
    pub(crate) fn start(self: &Rc<Self>, service: &id::Service) -> Option<Guard> {
        self.0.borrow_mut().start(service).then(|| Guard {
            calls: self.clone(),
            service: service.clone(),
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.calls.0.borrow_mut().end(&self.service);
    }
}
