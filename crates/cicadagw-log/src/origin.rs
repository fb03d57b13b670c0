//! Where lines come from.

use logforth::filter::FilterResult;
use logforth::record::{FilterCriteria, Level};
use logforth::{Diagnostic, Filter};

/// What the targets of the project's own packages begin with.
const OWN: &str = "cicada";

/// Lets the project's own lines pass, and of libraries those that are at least warnings.
///
/// Below that a library may write what it carries, secrets included.
#[derive(Clone, Copy, Debug)]
pub struct Origin;

impl Filter for Origin {
    fn enabled(&self, criteria: &FilterCriteria<'_>, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        if criteria.target().starts_with(OWN) || criteria.level() >= Level::Warn {
            FilterResult::Neutral
        } else {
            FilterResult::Reject
        }
    }
}
