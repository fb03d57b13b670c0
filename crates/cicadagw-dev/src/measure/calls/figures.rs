//! The figures, as they are written.

use serde::Serialize;

use crate::caller::Latency;

/// All figures of a run; what was not measured is null.
#[derive(Debug, Default, Serialize)]
pub struct Figures {
    pub(crate) added: Option<Vec<Added>>,
    pub(crate) capacity: Option<Capacity>,
    pub(crate) overload: Option<Vec<Overload>>,
    pub(crate) changes: Option<Vec<Change>>,
    pub(crate) memory: Option<Memory>,
}

/// What a hop adds to a call.
#[derive(Debug, Serialize)]
pub(crate) struct Added {
    /// Calls a second that went over both hops besides the measured ones.
    pub(crate) background_per_second: u32,
    pub(crate) direct: Latency,
    pub(crate) one_hop: Latency,
    pub(crate) two_hops: Latency,
    pub(crate) by_one_hop: Difference,
    pub(crate) by_two_hops: Difference,
    /// Measured calls that were not answered.
    pub(crate) failed: u64,
    /// Background calls that were not answered.
    pub(crate) background_failed: u64,
}

/// The differences and ratios of percentiles.
#[derive(Debug, Serialize)]
pub(crate) struct Difference {
    pub(crate) p50_us: i64,
    pub(crate) p99_us: i64,
    pub(crate) p999_us: i64,
    pub(crate) p50_ratio: f64,
    pub(crate) p99_ratio: f64,
    pub(crate) p999_ratio: f64,
}

/// How many calls the nodes carry.
#[derive(Debug, Serialize)]
pub(crate) struct Capacity {
    /// Calls over both hops that were answered in a second, at the highest rate that was tried with
    /// 99 of 100 answered.
    pub(crate) calls_per_second: u64,
    /// Processor time of both nodes for one call.
    pub(crate) processor_us_per_call: f64,
    /// Calls that one core of a node carries in a second over one hop.
    pub(crate) hops_per_second_per_core: f64,
    pub(crate) steps: Vec<Step>,
}

/// One rate that was tried.
#[derive(Debug, Serialize)]
pub(crate) struct Step {
    pub(crate) offered_per_second: u32,
    pub(crate) answered_per_second: u64,
    pub(crate) failed: u64,
    pub(crate) processor_us_per_call: f64,
    pub(crate) p99_us: u64,
    pub(crate) lag_p99_us: u64,
}

/// What becomes of calls beyond the capacity of the backend servers.
#[derive(Debug, Serialize)]
pub(crate) struct Overload {
    pub(crate) limits: bool,
    pub(crate) load: f64,
    pub(crate) offered_per_second: u32,
    pub(crate) answered_per_second: u64,
    pub(crate) answered: Latency,
    pub(crate) not_run_share: f64,
    pub(crate) other_share: f64,
}

/// What becomes of calls during changes.
#[derive(Debug, Serialize)]
pub(crate) struct Change {
    pub(crate) what: &'static str,
    pub(crate) calls: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) lost: u64,
    pub(crate) unknown: u64,
    pub(crate) others: u64,
    /// Requests that ran more than once.
    pub(crate) doubled: usize,
    /// Requests that ran and were said not to have run.
    pub(crate) denied: usize,
    pub(crate) seconds: f64,
}

/// What calls hold of the memory of a node.
#[derive(Debug, Serialize)]
pub(crate) struct Memory {
    pub(crate) in_flight: u32,
    pub(crate) idle_bytes: Vec<u64>,
    pub(crate) busy_bytes: Vec<u64>,
    pub(crate) bytes_per_1000_calls: Vec<u64>,
    pub(crate) streamed_bytes: usize,
    pub(crate) streamed_is_answered: bool,
    pub(crate) peak_before_bytes: Vec<u64>,
    pub(crate) peak_after_bytes: Vec<u64>,
}

impl Difference {
    pub(crate) fn new(direct: &Latency, hops: &Latency) -> Self {
        let less = |more: u64, less: u64| more.cast_signed() - less.cast_signed();
        let ratio = |more: u64, less: u64| more as f64 / less.max(1) as f64;
        Self {
            p50_us: less(hops.p50_us, direct.p50_us),
            p99_us: less(hops.p99_us, direct.p99_us),
            p999_us: less(hops.p999_us, direct.p999_us),
            p50_ratio: ratio(hops.p50_us, direct.p50_us),
            p99_ratio: ratio(hops.p99_us, direct.p99_us),
            p999_ratio: ratio(hops.p999_us, direct.p999_us),
        }
    }
}
