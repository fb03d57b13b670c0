//! The names that charts use.

/// An enum whose members have names in charts.
///
/// [`names!`](crate::names) defines such an enum together with its implementation.
pub trait Name: Copy + Eq + Sized + 'static {
    /// All members, in order of declaration.
    const ALL: &'static [Self];

    /// Returns the name of the member in charts.
    fn as_str(self) -> &'static str;

    /// Returns the member whose name is `text`.
    fn from_name(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|name| name.as_str() == text)
    }
}

/// Defines an enum that implements [`Name`], `Display` and serialization by the names of its members
/// in charts.
#[macro_export]
macro_rules! names {
    ($(#[$meta:meta])* pub enum $type:ident { $($(#[$inner:meta])* $member:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
        pub enum $type {
            $($(#[$inner])* #[serde(rename = $text)] $member,)*
        }

        impl $crate::Name for $type {
            const ALL: &'static [Self] = &[$(Self::$member,)*];

            fn as_str(self) -> &'static str {
                match self {
                    $(Self::$member => $text,)*
                }
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str($crate::Name::as_str(*self))
            }
        }
    };
}
