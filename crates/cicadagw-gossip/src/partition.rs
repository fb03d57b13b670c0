//! Hash partitions of a table, so that two nodes that differ need not compare their whole tables.

use cicadagw_unit::id;

use crate::hash;

/// Approximate number of records in a partition; the stamps of that many fit one message.
const RECORDS_PER_PARTITION: usize = 16;

/// Maximum number of partitions; the digests of more would not fit one message.
pub(crate) const PARTITIONS_MAX: usize = 48;

/// A partition of a table: the records of the nodes whose name hashes to `index` modulo `count`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Partition {
    /// Index of the partition, from 0.
    pub index: u16,
    /// Number of partitions that the table is split into.
    pub count: u16,
}

impl Partition {
    /// The whole table as a single partition.
    pub const WHOLE: Self = Self { index: 0, count: 1 };

    /// Returns how many partitions to split a table of `records` into.
    pub(crate) fn count(records: usize) -> u16 {
        let count = records
            .div_ceil(RECORDS_PER_PARTITION)
            .clamp(1, PARTITIONS_MAX);
        u16::try_from(count).unwrap_or(u16::MAX)
    }

    /// Returns the partition, of `count`, that contains the record of `node`.
    pub(crate) fn of(node: &id::Node, count: u16) -> Self {
        let index = hash::name(node) % u64::from(count.max(1));
        Self {
            index: u16::try_from(index).unwrap_or_default(),
            count,
        }
    }

    /// Returns whether this partition contains the record of `node`.
    pub fn contains(self, node: &id::Node) -> bool {
        Self::of(node, self.count) == self
    }
}
