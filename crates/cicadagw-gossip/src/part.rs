//! Parts of a table, so that two nodes need not compare the whole.

use std::hash::{DefaultHasher, Hash, Hasher};

use cicadagw_unit::id;

/// About how many records a part holds: as many as there is room for in one message.
const SIZE: usize = 16;

/// How many parts a table has at the most: the digests of more would not fit a message.
const COUNT_MAX: usize = 48;

/// A part of a table: the records of those nodes whose names have a certain hash.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Which part it is.
    pub index: u16,
    /// How many parts the table is taken to have.
    pub count: u16,
}

impl Part {
    /// The whole table.
    pub const WHOLE: Self = Self { index: 0, count: 1 };

    /// Returns how many parts a table of `records` has.
    pub(crate) fn count(records: usize) -> u16 {
        let count = records.div_ceil(SIZE).clamp(1, COUNT_MAX);
        u16::try_from(count).unwrap_or(u16::MAX)
    }

    /// Returns the part, of `count` parts, that the record of `node` is in.
    pub(crate) fn of(node: &id::Node, count: u16) -> Self {
        let mut hasher = DefaultHasher::new();
        node.as_str().hash(&mut hasher);
        let index = hasher.finish() % u64::from(count.max(1));
        Self {
            index: u16::try_from(index).unwrap_or_default(),
            count,
        }
    }

    /// Tells whether the record of `node` is in this part.
    pub(crate) fn holds(self, node: &id::Node) -> bool {
        Self::of(node, self.count) == self
    }
}
