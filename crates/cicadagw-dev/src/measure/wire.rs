//! An estimate of what messages take on the wire.

use cicadagw_unit::size::Bytes;

/// What JSON-RPC writes around the payload of one message.
const ENVELOPE: u64 = 76;

/// The WebSocket frame of a message; clients add a mask of four bytes.
const FRAME: u64 = 6;

/// The headers of TCP (with timestamps) and IP for one segment.
const SEGMENT: u64 = 52;

/// The largest payload of one segment on an ordinary link.
const SEGMENT_MAX: u64 = 1448;

/// Returns the bytes on the wire of `messages` with `payload` bytes, acknowledgements included.
///
/// Each message is taken to fill segments of its own, each acknowledged by an empty one; the other
/// way's acknowledgement counts here, so that the sum over both ways holds each once.
pub fn estimate(payload: Bytes, messages: u64) -> Bytes {
    let Some(mean) = payload.get().checked_div(messages) else {
        return Bytes::default();
    };
    let message = mean + ENVELOPE + FRAME;
    let segments = message.div_ceil(SEGMENT_MAX);
    Bytes::new(payload.get() + messages * (ENVELOPE + FRAME + segments * 2 * SEGMENT))
}
