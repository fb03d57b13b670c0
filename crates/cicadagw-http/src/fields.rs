//! Header fields.

use bytes::Bytes;
use smallvec::SmallVec;

/// One header field, as it stood on the wire.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// The name, in the case in which it came.
    pub name: Bytes,
    /// The value, without the white space around it.
    pub value: Bytes,
}

/// The header fields of a message, in their order; names are compared without regard to case.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(SmallVec<[Field; 8]>);

/// Fields that concern one connection alone (RFC 9110, section 7.6.1), and the length, which goes
/// with the body.
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
    /// Returns the first value of `name`.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        let field = self.0.iter().find(|field| is(field, name))?;
        Some(&field.value)
    }

    /// Returns the first value of `name`, if it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns every value of `name`.
    pub fn all<'f>(&'f self, name: &'f str) -> impl Iterator<Item = &'f Bytes> + 'f {
        self.0
            .iter()
            .filter(move |field| is(field, name))
            .map(|field| &field.value)
    }

    /// Tells whether there is a field `name`.
    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Adds a field behind the others.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.0.push(Field {
            name: name.into(),
            value: value.into(),
        });
    }

    /// Replaces every field `name` by one.
    pub fn set(&mut self, name: &'static str, value: impl Into<Bytes>) {
        self.remove(name);
        self.push(Bytes::from_static(name.as_bytes()), value);
    }

    /// Removes every field `name`.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|field| !is(field, name));
    }

    /// Returns the fields that go on to the next hop: all but those of this connection and those
    /// that `is_dropped` names.
    #[must_use]
    pub fn end_to_end(&self, is_dropped: impl Fn(&[u8]) -> bool) -> Self {
        let named: SmallVec<[&[u8]; 4]> = self
            .all("connection")
            .flat_map(|value| value.split(|&byte| byte == b','))
            .map(<[u8]>::trim_ascii)
            .collect();
        let ends_here = |name: &[u8]| {
            let is_named = |other: &&[u8]| other.eq_ignore_ascii_case(name);
            HOP_BY_HOP
                .iter()
                .any(|hop| hop.as_bytes().eq_ignore_ascii_case(name))
                || named.iter().any(is_named)
        };
        let kept = self.0.iter();
        let kept = kept.filter(|field| !ends_here(&field.name) && !is_dropped(&field.name));
        Self(kept.cloned().collect())
    }

    /// Returns the sum of the lengths of names and values, in bytes.
    pub fn size(&self) -> usize {
        self.0
            .iter()
            .map(|field| field.name.len() + field.value.len())
            .sum()
    }

    /// Returns the fields in their order.
    pub fn iter(&self) -> impl Iterator<Item = &Field> {
        self.0.iter()
    }
}

impl FromIterator<Field> for Fields {
    fn from_iter<I: IntoIterator<Item = Field>>(fields: I) -> Self {
        Self(fields.into_iter().collect())
    }
}

fn is(field: &Field, name: &str) -> bool {
    field.name.eq_ignore_ascii_case(name.as_bytes())
}
