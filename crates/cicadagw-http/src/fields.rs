//! Header fields.

use bytes::Bytes;
use smallvec::SmallVec;

/// A header field as received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// The name, in its original case.
    pub name: Bytes,
    /// The value, without surrounding whitespace.
    pub value: Bytes,
}

/// The header fields of a message in their original order; names are compared case-insensitively.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(SmallVec<[Field; 8]>);

/// Hop-by-hop fields (RFC 9110, section 7.6.1), and `content-length`, which is written together
/// with the body's framing.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Fields {
    /// Returns the value of the first field `name`.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        let field = self.0.iter().find(|field| has_name(field, name))?;
        Some(&field.value)
    }

    /// Returns the value of the first field `name` if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns the values of all fields `name`.
    pub fn all<'f>(&'f self, name: &'f str) -> impl Iterator<Item = &'f Bytes> + 'f {
        self.0
            .iter()
            .filter(move |field| has_name(field, name))
            .map(|field| &field.value)
    }

    /// Returns whether there is a field `name`.
    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Appends a field.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.0.push(Field {
            name: name.into(),
            value: value.into(),
        });
    }

    /// Replaces all fields `name` by a single one.
    pub fn set(&mut self, name: &'static str, value: impl Into<Bytes>) {
        self.remove(name);
        self.push(Bytes::from_static(name.as_bytes()), value);
    }

    /// Removes all fields `name`.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|field| !has_name(field, name));
    }

    /// Returns the fields to forward to the next hop: all except hop-by-hop fields, fields named by
    /// `connection`, and those for which `is_dropped` returns true.
    #[must_use]
    pub fn end_to_end(&self, is_dropped: impl Fn(&[u8]) -> bool) -> Self {
        let connection_options: SmallVec<[&[u8]; 4]> = self
            .all("connection")
            .flat_map(|value| value.split(|&byte| byte == b','))
            .map(<[u8]>::trim_ascii)
            .collect();
        let is_hop_by_hop = |name: &[u8]| {
            let is_option = |other: &&[u8]| other.eq_ignore_ascii_case(name);
            HOP_BY_HOP
                .iter()
                .any(|hop| hop.as_bytes().eq_ignore_ascii_case(name))
                || connection_options.iter().any(is_option)
        };
        let kept = self.0.iter();
        let kept = kept.filter(|field| !is_hop_by_hop(&field.name) && !is_dropped(&field.name));
        Self(kept.cloned().collect())
    }

    /// Returns the total length of all names and values, in bytes.
    pub fn size(&self) -> usize {
        self.0
            .iter()
            .map(|field| field.name.len() + field.value.len())
            .sum()
    }

    /// Iterates over the fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &Field> {
        self.0.iter()
    }
}

impl FromIterator<Field> for Fields {
    fn from_iter<I: IntoIterator<Item = Field>>(fields: I) -> Self {
        Self(fields.into_iter().collect())
    }
}

fn has_name(field: &Field, name: &str) -> bool {
    field.name.eq_ignore_ascii_case(name.as_bytes())
}
