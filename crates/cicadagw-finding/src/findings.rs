//! Collections of findings.

use std::fmt;

use crate::Finding;

/// A collection of findings, in the order in which they were reported until it is sorted.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Adds all findings of `other`.
    pub fn append(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the findings as a slice.
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// Sorts the findings by location.
    pub fn sort(&mut self) {
        self.0
            .sort_by(|left, right| left.location.cmp(&right.location));
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Fails with all findings, sorted by location, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        self.sort();
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
