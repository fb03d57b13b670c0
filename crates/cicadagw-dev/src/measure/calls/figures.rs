//! The figures, in the form in which they are printed.

use serde::Serialize;

use crate::caller::Latency;

/// All figures of a run; those of parts that were not measured are null.
#[derive(Debug, Default, Serialize)]
pub struct Figures {
    /// The added latency, first under light and then under high load.
    pub(crate) added: Option<Vec<Added>>,
    pub(crate) capacity: Option<Capacity>,
    pub(crate) overload: Option<Vec<Overload>>,
    pub(crate) changes: Option<Vec<Change>>,
    pub(crate) memory: Option<Memory>,
}

/// The latency that one and two hops add to a call, under one background load.
#[derive(Debug, Serialize)]
pub(crate) struct Added {
    /// The rate of the background calls, which go over both hops.
    pub(crate) background_per_second: u32,
    /// The latency without a node between caller and backend server.
    pub(crate) direct: Latency,
    /// The latency over the node of the backend server.
    pub(crate) one_hop: Latency,
    /// The latency over the node of another host and that of the backend server.
    pub(crate) two_hops: Latency,
    /// What one hop adds to the direct latency.
    pub(crate) by_one_hop: Difference,
    /// What two hops add to the direct latency.
    pub(crate) by_two_hops: Difference,
    /// The measured calls that were not answered.
    pub(crate) failed: u64,
    /// The background calls that were not answered.
    pub(crate) background_failed: u64,
}

/// The differences and ratios between the latency percentiles of two paths.
#[derive(Debug, Serialize)]
pub(crate) struct Difference {
    pub(crate) p50_us: i64,
    pub(crate) p99_us: i64,
    pub(crate) p999_us: i64,
    pub(crate) p50_ratio: f64,
    pub(crate) p99_ratio: f64,
    pub(crate) p999_ratio: f64,
}

/// The rate of calls that the nodes can carry.
#[derive(Debug, Serialize)]
pub(crate) struct Capacity {
    /// The calls over both hops that were answered per second, at the highest rate tried of which at
    /// least 99% were answered.
    pub(crate) calls_per_second: u64,
    /// The CPU time of both nodes together for one call.
    pub(crate) processor_us_per_call: f64,
    /// The calls per second that one core carries over one hop.
    pub(crate) hops_per_second_per_core: f64,
    /// All rates that were tried.
    pub(crate) steps: Vec<Step>,
}

/// The figures at one rate of calls.
#[derive(Debug, Serialize)]
pub(crate) struct Step {
    pub(crate) offered_per_second: u32,
    pub(crate) answered_per_second: u64,
    pub(crate) failed: u64,
    pub(crate) processor_us_per_call: f64,
    pub(crate) p99_us: u64,
    /// The 99th percentile of the delay between the time at which a call was due and its start.
    pub(crate) lag_p99_us: u64,
}

/// The outcomes of calls at one load, given as a multiple of the capacity of the backend servers.
#[derive(Debug, Serialize)]
pub(crate) struct Overload {
    /// Whether the policy limits concurrency and queue.
    pub(crate) limits: bool,
    /// The rate of calls divided by the capacity of the backend servers.
    pub(crate) load: f64,
    pub(crate) offered_per_second: u32,
    pub(crate) answered_per_second: u64,
    /// The latency of the answered calls.
    pub(crate) answered: Latency,
    /// The fraction of calls that were refused without being executed.
    pub(crate) not_run_share: f64,
    /// The fraction of calls that were neither answered nor refused without being executed.
    pub(crate) other_share: f64,
}

/// The outcomes of calls during one disruption.
#[derive(Debug, Serialize)]
pub(crate) struct Change {
    /// The name of the disruption.
    pub(crate) what: &'static str,
    pub(crate) calls: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    /// Calls without any response.
    pub(crate) lost: u64,
    pub(crate) unknown: u64,
    /// Calls with a truncated or mismatched response, or an error status.
    pub(crate) others: u64,
    /// Requests that were executed more than once.
    pub(crate) doubled: usize,
    /// Requests that were executed although their callers were told that they were not.
    pub(crate) denied: usize,
    pub(crate) seconds: f64,
}

/// The memory that calls and large bodies take on each node.
#[derive(Debug, Serialize)]
pub(crate) struct Memory {
    /// The number of calls in flight at once.
    pub(crate) in_flight: u32,
    /// The resident memory of each node without calls.
    pub(crate) idle_bytes: Vec<u64>,
    /// The resident memory of each node with these calls in flight.
    pub(crate) busy_bytes: Vec<u64>,
    /// The growth of the resident memory of each node, scaled to 1,000 calls.
    pub(crate) bytes_per_1000_calls: Vec<u64>,
    /// The length of the body streamed in each direction.
    pub(crate) streamed_bytes: usize,
    /// Whether the whole response to the streamed body was received.
    pub(crate) streamed_is_answered: bool,
    /// The peak resident memory of each node before the body was streamed.
    pub(crate) peak_before_bytes: Vec<u64>,
    /// The peak resident memory of each node after the body was streamed.
    pub(crate) peak_after_bytes: Vec<u64>,
}

impl Difference {
    /// Compares the latency over hops with the direct one.
    pub(crate) fn new(direct: &Latency, hops: &Latency) -> Self {
        let difference = |hops: u64, direct: u64| hops.cast_signed() - direct.cast_signed();
        let ratio = |hops: u64, direct: u64| hops as f64 / direct.max(1) as f64;
        Self {
            p50_us: difference(hops.p50_us, direct.p50_us),
            p99_us: difference(hops.p99_us, direct.p99_us),
            p999_us: difference(hops.p999_us, direct.p999_us),
            p50_ratio: ratio(hops.p50_us, direct.p50_us),
            p99_ratio: ratio(hops.p99_us, direct.p99_us),
            p999_ratio: ratio(hops.p999_us, direct.p999_us),
        }
    }
}
