//! The part of a response body that is held in memory before it is forwarded.

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;

/// The length below which a part is copied, in bytes. A received part keeps the whole read buffer
/// allocated that it is a slice of, so a body that arrives byte by byte would hold thousands of
/// times its size.
const COPIED_BYTES_MAX: usize = 4 << 10;

/// The maximum length of short parts that are joined, in bytes: the steps in which a body is paced.
const JOINED_BYTES_MAX: usize = 16 << 10;

/// Consecutive parts of a body.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    parts: SmallVec<[Bytes; 4]>,
    /// The copies of the last short parts, which follow `parts`.
    tail: BytesMut,
    length: usize,
}

impl Buffer {
    /// Appends a part.
    pub(crate) fn push(&mut self, part: Bytes) {
        self.length += part.len();
        if part.len() < COPIED_BYTES_MAX {
            if self.tail.len() + part.len() > JOINED_BYTES_MAX {
                self.seal_tail();
            }
            self.tail.extend_from_slice(&part);
        } else {
            self.seal_tail();
            self.parts.push(part);
        }
    }

    /// Returns the length of all parts, in bytes.
    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    /// Returns the parts in order; short ones are joined.
    pub(crate) fn into_parts(mut self) -> SmallVec<[Bytes; 4]> {
        self.seal_tail();
        self.parts
    }

    /// Returns all parts as one.
    pub(crate) fn join(self) -> Bytes {
        let length = self.length;
        let parts = self.into_parts();
        match &parts[..] {
            [] => Bytes::new(),
            [only] => only.clone(),
            parts => {
                let mut joined = BytesMut::with_capacity(length);
                for part in parts {
                    joined.extend_from_slice(part);
                }
                joined.freeze()
            }
        }
    }

    /// Moves the short parts behind the others.
    fn seal_tail(&mut self) {
        if !self.tail.is_empty() {
            self.parts.push(self.tail.split().freeze());
        }
    }
}
