//! Closed sets of names.

/// A closed set of names that a chart may use.
///
/// [`names!`](crate::names) writes the implementation.
pub trait Name: Copy + Eq + Sized + 'static {
    /// Every member, in the order of declaration.
    const ALL: &'static [Self];

    /// Returns the name as it stands in a chart.
    fn as_str(self) -> &'static str;

    /// Returns the member that `text` names.
    fn from_name(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|name| name.as_str() == text)
    }
}

/// Writes a closed enum whose members have names in charts, with `Display` and serialisation.
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
