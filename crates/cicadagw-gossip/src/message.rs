//! Gossip messages, each sent as one UDP datagram of JSON.

use cicadagw_call::quota::{Ask, Grant};
use cicadagw_endpoint::Departures;
use cicadagw_platform::Revision;
use cicadagw_rollout::{Directive, Report};
use cicadagw_unit::time::Span;
use cicadagw_unit::{Version, id};

use crate::{Member, Partition, Stamp};

/// Maximum size of a datagram sent, in bytes; fits one packet on any common link.
pub const DATAGRAM_MAX: usize = 1_300;

/// Maximum number of member records in one message.
const MEMBERS_PER_MESSAGE: usize = 4;

/// Maximum size of the member records in one message, in bytes.
const MEMBERS_BYTES_MAX: usize = DATAGRAM_MAX - 150;

/// Maximum number of stamps in one message.
pub(crate) const STAMPS_PER_MESSAGE: usize = 20;

/// A gossip message between two nodes.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Member records that may be new to the receiver. With `wants_ack`, the sender retransmits
    /// them until they are acknowledged.
    Push {
        /// Name of the sender.
        from: id::Node,
        /// The records.
        members: Vec<Member>,
        /// Whether the receiver must reply with an acknowledgement.
        wants_ack: bool,
        /// Whether the receiver must relay the records to the other nodes of its region.
        spread: bool,
    },
    /// Acknowledges a [`Message::Push`].
    Ack {
        /// The departures from the receiver's host that its record lacks, as it has restarted since.
        #[serde(default, skip_serializing_if = "Departures::is_empty")]
        departures: Departures,
        /// Name of the sender.
        from: id::Node,
        /// Stamp of the receiver's own record that the sender holds.
        stamp: Stamp,
    },
    /// Summary of what the sender holds, for the receiver to compare with its own state.
    Digest {
        /// Name of the sender.
        from: id::Node,
        /// Digest of its membership table.
        digest: u64,
        /// Whether it watches the platform for configuration changes; a digest that says so is a
        /// beacon.
        follows: bool,
        /// Version of the sender's configuration; zero without one.
        version: Version,
        /// Digest of the rollouts that it knows; zero without any.
        #[serde(default, skip_serializing_if = "is_zero")]
        rollouts: u64,
    },
    /// A rollout that may be new to the receiver.
    Rollout {
        /// What nodes choose backend servers by.
        directive: Box<Directive>,
    },
    /// What the sender observes of a backend server on its host, for the leader of a rollout.
    Report {
        /// The report.
        report: Box<Report>,
    },
    /// Asks how old the receiver's configuration is.
    Question {
        /// Name of the sender.
        from: id::Node,
        /// A random number that identifies the question.
        number: u64,
    },
    /// Answers a [`Message::Question`]: all changes of the configuration are known that the platform
    /// acknowledged more than `age` before this message was sent.
    Answer {
        /// The age.
        age: Span,
        /// Name of the sender.
        from: id::Node,
        /// The number of the question.
        number: u64,
        /// A revision of the store at which the version was the newest.
        #[serde(flatten)]
        revision: Revision,
        /// The newest version at that time.
        version: Version,
    },
    /// Digests of the sender's table by partition, sent when the digests of the whole tables
    /// differ.
    Parts {
        /// Name of the sender.
        from: id::Node,
        /// The digests, in the order of the partitions.
        digests: Vec<u64>,
    },
    /// Stamps of all records that the sender holds in a range of a partition; a name that is
    /// missing is unknown to it.
    Have {
        /// Name of the sender.
        from: id::Node,
        /// The partition.
        part: Partition,
        /// Exclusive lower bound of the node names in the range; unbounded if `None`.
        after: Option<id::Node>,
        /// Inclusive upper bound of the node names in the range; unbounded if `None`.
        last: Option<id::Node>,
        /// The stamps of the records in the range, by node name.
        stamps: Vec<(id::Node, Stamp)>,
        /// Whether the receiver may reply with its own stamps of the range; unset in such a reply,
        /// so that the exchange ends.
        may_answer: bool,
    },
    /// Asks the receiver, which owns a part of an account's quota, for tokens.
    Ask {
        /// What the sender asks for.
        ask: Ask,
        /// Name of the sender.
        from: id::Node,
        /// Number of parts that the sender divides the quota into.
        parts: u16,
        /// Start time of the sender's process, in milliseconds since the Unix epoch.
        start_ms: u64,
    },
    /// Answers a [`Message::Ask`].
    Grant(Grant),
}

/// Returns whether the number is zero, and so not written.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Splits member records into groups that fit one message each.
pub(crate) fn split_members(members: Vec<Member>) -> Vec<Vec<Member>> {
    let mut groups: Vec<Vec<Member>> = Vec::new();
    let mut size = 0;
    for member in members {
        let length = member.encoded_size();
        match groups.last_mut() {
            Some(group)
                if group.len() < MEMBERS_PER_MESSAGE && size + length <= MEMBERS_BYTES_MAX =>
            {
                size += length;
                group.push(member);
            }
            _ => {
                size = length;
                groups.push(vec![member]);
            }
        }
    }
    groups
}

impl Message {
    /// Encodes the message as JSON.
    ///
    /// # Panics
    ///
    /// Never: every message serializes to JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a message serializes to JSON")
    }

    /// Decodes a message from JSON.
    ///
    /// # Errors
    ///
    /// When `bytes` are not the JSON of a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
