//! Where a body ends.

use bytes::{Buf, Bytes, BytesMut};

use crate::Error;

/// The longest line between chunks, and the longest trailer section, in bytes.
const LINE_MAX: usize = 8 << 10;

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with its connection.
    Close,
}

/// Takes a body out of the bytes of a connection.
#[derive(Clone, Debug)]
pub struct Decoder(State);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    Close,
    Done,
}

/// What the bytes at hand yield.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// A part of the body.
    Data(Bytes),
    /// The body is whole.
    Done,
    /// More bytes are needed.
    More,
}

impl Decoder {
    /// Creates the decoder of a body with `framing`.
    pub const fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::Close,
        })
    }

    /// Tells whether the body is whole.
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// Tells whether the end of the connection ends the body properly.
    pub fn ends_by_close(&self) -> bool {
        matches!(self.0, State::Close | State::Done)
    }

    /// Takes the next part of the body out of `bytes`.
    ///
    /// # Errors
    ///
    /// When the chunks cannot be read.
    pub fn step(&mut self, bytes: &mut BytesMut) -> Result<Step, Error> {
        loop {
            match self.0 {
                State::Done => return Ok(Step::Done),
                State::Close => {
                    return Ok(if bytes.is_empty() {
                        Step::More
                    } else {
                        Step::Data(bytes.split().freeze())
                    });
                }
                State::Length(left) => return Ok(self.data(bytes, left, State::Done)),
                State::Chunk(left) => return Ok(self.data(bytes, left, State::ChunkEnd)),
                State::ChunkSize => {
                    let Some(next) = chunk_size(bytes)? else {
                        return Ok(Step::More);
                    };
                    self.0 = next;
                }
                State::ChunkEnd => {
                    if bytes.len() < 2 {
                        return Ok(Step::More);
                    }
                    if !bytes.starts_with(b"\r\n") {
                        return Err(Error::Malformed);
                    }
                    bytes.advance(2);
                    self.0 = State::ChunkSize;
                }
                State::Trailers => {
                    let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else {
                        return within(bytes.len()).map(|()| Step::More);
                    };
                    within(end)?;
                    bytes.advance(end + 2);
                    if end == 0 {
                        self.0 = State::Done;
                    }
                }
            }
        }
    }

    fn data(&mut self, bytes: &mut BytesMut, left: u64, end: State) -> Step {
        if bytes.is_empty() {
            return Step::More;
        }
        let here = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
        let left = left - here as u64;
        self.0 = match (left, self.0) {
            (0, _) => end,
            (left, State::Chunk(_)) => State::Chunk(left),
            (left, _) => State::Length(left),
        };
        Step::Data(bytes.split_to(here).freeze())
    }
}

/// Reads the line that begins a chunk; `None` when it is not there yet.
fn chunk_size(bytes: &mut BytesMut) -> Result<Option<State>, Error> {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((line, size))) => {
            bytes.advance(line);
            Ok(Some(match size {
                0 => State::Trailers,
                size => State::Chunk(size),
            }))
        }
        Ok(httparse::Status::Partial) => within(bytes.len()).map(|()| None),
        Err(_) => Err(Error::Malformed),
    }
}

fn within(length: usize) -> Result<(), Error> {
    if length > LINE_MAX {
        return Err(Error::Malformed);
    }
    Ok(())
}
