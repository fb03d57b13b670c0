//! What counters are told apart by.

use std::fmt;

/// Writes a closed set of labels with their text.
macro_rules! label {
    ($(#[$meta:meta])* $type:ident { $($(#[$variant_meta:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $type {
            $($(#[$variant_meta])* $variant,)*
        }

        impl $type {
            /// All labels, in the order of their index.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the text of the label.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            /// Returns the place of the label in [`Self::ALL`].
            pub(crate) const fn index(self) -> usize {
                self as usize
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self.as_str())
            }
        }
    };
}

label! {
    /// The kind of a message between nodes.
    Kind {
        /// A sign of life of a parent.
        Beat = "beat",
        /// What leads from one snapshot to a newer one.
        Delta = "delta",
        /// The digests of the endpoints that a parent knows.
        Digests = "digests",
        /// News of endpoints.
        Endpoints = "endpoints",
        /// The first message of a link, and its answer.
        Hello = "hello",
        /// The nodes from the root down to a parent.
        Path = "path",
        /// The nodes that answer a roll call.
        Present = "present",
        /// The status of a child and of those below it.
        Report = "report",
        /// The wish that every node says that it is there.
        RollCall = "roll-call",
        /// The wish for a whole snapshot.
        WantWhole = "want-whole",
        /// A whole snapshot.
        Whole = "whole",
    }
}

label! {
    /// How far a message goes.
    Reach {
        /// Both nodes are in one region.
        Within = "within-region",
        /// The message crosses the link between regions.
        Across = "across-regions",
    }
}

label! {
    /// A call to the platform.
    Operation {
        /// Removes an object.
        Delete = "delete",
        /// Reads an object.
        Get = "get",
        /// Lists keys.
        List = "list",
        /// Writes an object.
        Put = "put",
        /// Waits for a change of an object.
        Watch = "watch",
    }
}

label! {
    /// Whether a call to the platform was answered.
    Success {
        /// It was answered.
        Answered = "answered",
        /// It failed, or its answer was lost.
        Failed = "failed",
    }
}

label! {
    /// How a call of a caller ended.
    Outcome {
        /// The whole answer went to the caller.
        Answered = "answered",
        /// No byte of the request went to a backend server.
        NotRun = "not-run",
        /// The request may have run.
        Unknown = "unknown",
    }
}
