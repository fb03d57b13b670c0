//! Macros that define a newtype together with its string form.

/// Defines a newtype over a name; `$kind` describes the type in error messages.
macro_rules! name {
    ($(#[$meta:meta])* $type:ident, $kind:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
        )]
        #[serde(try_from = "compact_str::CompactString", into = "compact_str::CompactString")]
        pub struct $type(compact_str::CompactString);

        impl $type {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        }

        impl std::str::FromStr for $type {
            type Err = $crate::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if $crate::id::is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err($crate::Error::new($kind, text, $crate::id::NAME_SYNTAX))
                }
            }
        }

        impl TryFrom<compact_str::CompactString> for $type {
            type Error = $crate::Error;

            fn try_from(text: compact_str::CompactString) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$type> for compact_str::CompactString {
            fn from(name: $type) -> Self {
                name.0
            }
        }
    };
}

/// Defines a newtype over an unsigned integer whose string form ends with `$unit`, which may be
/// empty; `$kind` describes the type in error messages.
macro_rules! number {
    ($(#[$meta:meta])* $type:ident($int:ty), $kind:literal, $unit:literal) => {
        $(#[$meta])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            serde::Deserialize,
            serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $type($int);

        impl $type {
            /// Creates a value of `number` units.
            pub const fn new(number: $int) -> Self {
                Self(number)
            }

            /// Returns the number of units.
            pub const fn get(self) -> $int {
                self.0
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl std::str::FromStr for $type {
            type Err = $crate::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_suffix($unit)
                    .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()))
                    .and_then(|digits| digits.parse().ok())
                    .map(Self)
                    .ok_or_else(|| {
                        let expected = if $unit.is_empty() {
                            "a whole number"
                        } else {
                            concat!("a whole number and `", $unit, "`")
                        };
                        $crate::Error::new($kind, text, expected)
                    })
            }
        }
    };
}

pub(crate) use {name, number};
