//! A dialect with all response checks.

use bytes::Bytes;
use cicadagw_call::Load;
use cicadagw_dialect::{Acknowledgement, DecodeError, Dialect, HeaderNames, Native, Registration};
use cicadagw_unit::id;
use cicadagw_unit::time::Span;

/// A dialect with its own header names and all response checks; announcements are in the native
/// format.
pub struct Strict;

impl Dialect for Strict {
    fn header_names(&self) -> &HeaderNames {
        &HeaderNames {
            account: Some("t-account"),
            attempt: Some("t-id"),
            caller: Some("t-caller"),
            deadline: "t-left",
            endpoint: Some("t-endpoint"),
            hops: None,
            key: Some("t-key"),
            leaving: Some("t-leaving"),
            limit: Some("t-limit"),
            load: None,
            not_run: Some("t-not-run"),
            seal: Some("t-seal"),
        }
    }

    fn is_readiness_path(&self, path: &str) -> bool {
        path == "/ready"
    }

    fn retry_after(&self, wait: Span) -> String {
        format!("0.{:03}", wait.get())
    }

    fn parse_load(&self, _: &str) -> Option<Load> {
        None
    }

    fn decode_registration(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Registration, DecodeError> {
        Native.decode_registration(method, path, body)
    }

    fn acknowledge(&self, renew: Span) -> Acknowledgement {
        Native.acknowledge(renew)
    }

    fn refuse_gone(&self, endpoint: &id::Endpoint) -> Acknowledgement {
        Native.refuse_gone(endpoint)
    }

    fn acknowledge_end(&self, _: bool) -> Acknowledgement {
        Acknowledgement {
            status: 200,
            body: Bytes::new(),
        }
    }
}
