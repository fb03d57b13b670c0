//! The filter on the crate that a log record comes from.

use logforth::filter::FilterResult;
use logforth::record::{FilterCriteria, Level};
use logforth::{Diagnostic, Filter};

/// The prefix of the log targets of this project's crates.
const OWN_TARGET_PREFIX: &str = "cicada";

/// Lets all records of this project's crates pass, but of libraries only warnings and errors.
///
/// At less severe levels, a library may log the data that it handles, including secrets.
#[derive(Clone, Copy, Debug)]
pub struct Origin;

impl Filter for Origin {
    fn enabled(&self, criteria: &FilterCriteria<'_>, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        if criteria.target().starts_with(OWN_TARGET_PREFIX) || criteria.level() >= Level::Warn {
            FilterResult::Neutral
        } else {
            FilterResult::Reject
        }
    }
}
