//! An estimate of what messages take on the wire.

use cicadagw_unit::size::Bytes;

/// What JSON-RPC writes around the payload of one message.
const ENVELOPE: u64 = 76;

/// The WebSocket frame of a message; clients add a mask of four bytes.
const FRAME: u64 = 6;

/// The frame with the answer to a message, which those to a parent have.
const ANSWER: u64 = 41;

/// The headers of TCP (with timestamps) and IP for one segment.
const SEGMENT: u64 = 52;

/// The largest payload of one segment on an ordinary link.
const SEGMENT_MAX: u64 = 1448;

/// Returns the bytes on the wire of `messages` with `payload` bytes, acknowledgements included.
///
/// Each message is taken to fill segments of its own, each acknowledged by another one, and to be
/// answered; since some share segments and only those to a parent are answered, this is more than
/// there is. What goes the other way on its account counts here, so that the sum over both ways
/// holds it once.
pub fn estimate(payload: Bytes, messages: u64) -> Bytes {
    let Some(mean) = payload.get().checked_div(messages) else {
        return Bytes::default();
    };
    let message = mean + ENVELOPE + FRAME;
    let segments = message.div_ceil(SEGMENT_MAX);
    Bytes::new(payload.get() + messages * (ENVELOPE + FRAME + ANSWER + segments * 2 * SEGMENT))
}
