//! The labels of counters.

use std::fmt;

/// Defines a closed set of label values with their texts.
macro_rules! label {
    ($(#[$meta:meta])* $type:ident { $($(#[$variant_meta:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $type {
            $($(#[$variant_meta])* $variant,)*
        }

        impl $type {
            /// All values, in the order of their index.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the text of the value.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            /// Returns the index of the value in [`Self::ALL`].
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
    /// An operation on the object store of the platform.
    Operation {
        /// Asks whether an object has changed; the response may be stale.
        Check = "check",
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
    /// How a call to the platform ended.
    PlatformOutcome {
        /// The platform carried out the call, or rejected a conditional write with a conflict.
        Answered = "answered",
        /// The call failed for any other reason, or its response was lost.
        Failed = "failed",
    }
}
