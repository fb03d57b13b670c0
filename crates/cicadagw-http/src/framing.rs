//! Message body framing (RFC 9112, section 6.3).

use bytes::{Buf, Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Status};

use crate::Error;

/// The maximum length of a chunk size line with its extensions, and of a whole trailer section, in
/// bytes.
const LINE_BYTES_MAX: usize = 8 << 10;

/// How the length of a message body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes (`content-length`).
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body extends to the end of the connection.
    Close,
}

impl Framing {
    /// The maximum length of a short body, in bytes. With its head it fits into the receive window of
    /// a server that does not read.
    const SHORT_BYTES_MAX: u64 = 32 << 10;

    /// Returns whether a body may be longer than the receive window of a server that does not read.
    pub const fn is_long(self) -> bool {
        match self {
            Self::Empty => false,
            Self::Length(length) => length > Self::SHORT_BYTES_MAX,
            Self::Chunked | Self::Close => true,
        }
    }
}

/// An incremental decoder that extracts a message body from a connection's receive buffer.
#[derive(Clone, Debug)]
pub struct Decoder(State);

/// The next element that the decoder expects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// This many more bytes of a body with `content-length`.
    Length(u64),
    /// The size line of the next chunk.
    ChunkSize,
    /// This many more bytes of the current chunk.
    Chunk(u64),
    /// The CRLF after the data of a chunk.
    ChunkEnd,
    /// The next line of the trailer section, which ends with an empty line, after this many bytes of
    /// it.
    Trailers(usize),
    /// Bytes up to the end of the connection.
    Close,
    /// Nothing; the body is complete.
    Done,
}

/// The result of a decoding step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// The next part of the body.
    Data(Bytes),
    /// The body is complete.
    Done,
    /// More bytes must be received first.
    More,
}

impl Decoder {
    /// Creates a decoder for a body with `framing`.
    pub const fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::Close,
        })
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// Returns whether the body is complete if the connection ends here.
    pub fn ends_by_close(&self) -> bool {
        matches!(self.0, State::Close | State::Done)
    }

    /// Removes the next part of the body from the front of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] when the chunked coding or a trailer field is invalid.
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
                State::Trailers(read) => {
                    let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else {
                        return check_line_length(read + bytes.len()).map(|()| Step::More);
                    };
                    let read = read + end + 2;
                    check_line_length(read)?;
                    let line = bytes.split_to(end + 2);
                    if end == 0 {
                        self.0 = State::Done;
                    } else {
                        check_field_line(&line)?;
                        self.0 = State::Trailers(read);
                    }
                }
            }
        }
    }

    fn data(&mut self, bytes: &mut BytesMut, left: u64, end: State) -> Step {
        if bytes.is_empty() {
            return Step::More;
        }
        let available = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
        let left = left - available as u64;
        self.0 = match (left, self.0) {
            (0, _) => end,
            (left, State::Chunk(_)) => State::Chunk(left),
            (left, _) => State::Length(left),
        };
        Step::Data(bytes.split_to(available).freeze())
    }
}

/// Parses a chunk size line; returns `None` when it is incomplete.
fn chunk_size(bytes: &mut BytesMut) -> Result<Option<State>, Error> {
    // The parser takes a line without a digit for a size of 0, which is that of the last chunk.
    if bytes.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(Error::Malformed);
    }
    match httparse::parse_chunk_size(bytes) {
        Ok(Status::Complete((line, size))) => {
            check_line_length(line)?;
            let line = bytes.split_to(line);
            let line = line.strip_suffix(b"\r\n").unwrap_or(&line);
            if line.iter().any(|&byte| is_control(byte)) {
                return Err(Error::Malformed);
            }
            Ok(Some(match size {
                0 => State::Trailers(0),
                size => State::Chunk(size),
            }))
        }
        Ok(Status::Partial) => check_line_length(bytes.len()).map(|()| None),
        Err(_) => Err(Error::Malformed),
    }
}

/// Returns whether `byte` is a control byte other than the tab, which counts as whitespace.
const fn is_control(byte: u8) -> bool {
    byte.is_ascii_control() && byte != b'\t'
}

/// Checks that `line`, which ends with CRLF, is a single valid field.
fn check_field_line(line: &[u8]) -> Result<(), Error> {
    let mut headers = [EMPTY_HEADER];
    // After a valid field, the parser expects another one or the empty line.
    match httparse::parse_headers(line, &mut headers) {
        Ok(Status::Partial) => Ok(()),
        Ok(Status::Complete(_)) | Err(_) => Err(Error::Malformed),
    }
}

fn check_line_length(length: usize) -> Result<(), Error> {
    if length > LINE_BYTES_MAX {
        return Err(Error::Malformed);
    }
    Ok(())
}
