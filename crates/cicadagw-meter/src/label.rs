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
