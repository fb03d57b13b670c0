//! Messages between nodes, each in one datagram of JSON.

use cicadagw_unit::{Version, id};

use crate::{Member, Part, Stamp};

/// The largest datagram that is sent, in bytes: one that fits a packet of any common link.
pub const SIZE_MAX: usize = 1_300;

/// How many records go into one message.
pub(crate) const MEMBERS_MAX: usize = 4;

/// How many stamps go into one message.
pub(crate) const STAMPS_MAX: usize = 20;

/// A message between two nodes.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Records that may be news. The sender repeats them until they are acknowledged, if it says so.
    Push {
        /// Who sends it.
        from: id::Node,
        /// The records.
        members: Vec<Member>,
        /// Whether an acknowledgement is awaited.
        wants_ack: bool,
        /// Whether the receiver is to tell the other nodes of its region.
        spread: bool,
    },
    /// Says that a record has arrived.
    Ack {
        /// Who sends it.
        from: id::Node,
        /// The newest record of the receiver that the sender holds.
        stamp: Stamp,
    },
    /// Says what the sender holds, in short.
    Digest {
        /// Who sends it.
        from: id::Node,
        /// The digest of its table.
        digest: u64,
        /// Whether it follows the configuration at the platform.
        follows: bool,
        /// The version that it holds; zero when it holds none.
        version: Version,
    },
    /// Says what the sender holds, in short for each part of its table.
    Parts {
        /// Who sends it.
        from: id::Node,
        /// The digests of the parts.
        digests: Vec<u64>,
    },
    /// Says what the sender holds, for a range of the names of a part.
    Have {
        /// Who sends it.
        from: id::Node,
        /// The part of the table.
        part: Part,
        /// The name after which the range begins; from the beginning if there is none.
        after: Option<id::Node>,
        /// The last name of the range; to the end if there is none.
        last: Option<id::Node>,
        /// The stamps of the records in the range.
        stamps: Vec<(id::Node, Stamp)>,
        /// Whether the receiver may say in turn what it holds.
        may_answer: bool,
    },
}

impl Message {
    /// Writes the message.
    ///
    /// # Panics
    ///
    /// Never: every message can be written as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a message can be written as JSON")
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// When `bytes` are no message.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
