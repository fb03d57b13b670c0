//! An estimate of the bytes that messages between nodes take on the wire.

use cicadagw_unit::size::Bytes;

/// The bytes that JSON-RPC adds around the payload of one message.
const ENVELOPE_BYTES: u64 = 76;

/// The WebSocket frame header of a message; clients add a mask of four bytes.
const FRAME_BYTES: u64 = 6;

/// The frame of the response to a message; only messages to a parent have one.
const RESPONSE_BYTES: u64 = 41;

/// The TCP header (with timestamps) and IP header of one segment.
const SEGMENT_HEADER_BYTES: u64 = 52;

/// The largest payload of one segment with an MTU of 1,500 bytes.
const SEGMENT_PAYLOAD_MAX: u64 = 1448;

/// Estimates the bytes on the wire of `messages` messages with `payload` bytes in all, including
/// their TCP acknowledgements and responses.
///
/// This is an upper estimate: it assumes that each message fills segments of its own, each of which is
/// acknowledged by another segment, and gets a response, whereas some messages share segments and only
/// those to a parent get a response. Acknowledgements and responses go the other way, but count here,
/// so that the sum over both directions holds them once.
pub fn estimate(payload: Bytes, messages: u64) -> Bytes {
    let Some(mean) = payload.get().checked_div(messages) else {
        return Bytes::default();
    };
    let message = mean + ENVELOPE_BYTES + FRAME_BYTES;
    let segments = message.div_ceil(SEGMENT_PAYLOAD_MAX);
    Bytes::new(
        payload.get()
            + messages
                * (ENVELOPE_BYTES
                    + FRAME_BYTES
                    + RESPONSE_BYTES
                    + segments * 2 * SEGMENT_HEADER_BYTES),
    )
}
