//! The number of file descriptors that the system allows this process.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Raises the soft limit to `wanted`, as far as the hard limit allows that, and returns the limit in
/// force; `None` if there is none.
pub(crate) fn raise(wanted: u64) -> Option<u64> {
    let limits = getrlimit(Resource::Nofile);
    let Some(soft) = raised(limits.current, limits.maximum, wanted) else {
        return limits.current;
    };
    let new = Rlimit {
        current: Some(soft),
        ..limits
    };
    match setrlimit(Resource::Nofile, new) {
        Ok(()) => new.current,
        Err(error) => {
            log::warn!(error:%, limit = limits.current, wanted; "failed to raise the limit on open files");
            limits.current
        }
    }
}

/// Returns the soft limit to set, so that `wanted` descriptors are allowed if the hard limit permits
/// that; `None` if the `soft` limit can stay as it is.
pub fn raised(soft: Option<u64>, hard: Option<u64>, wanted: u64) -> Option<u64> {
    let new = hard.map_or(wanted, |hard| hard.min(wanted));
    (soft? < new).then_some(new)
}
