//! The pages `/live` and `/ready`, for health probes.

use std::fmt;

use actix_web::HttpResponse;
use actix_web::web::Data;
use cicadagw_unit::Version;

use crate::sources::Sources;

/// The body of `/live`.
#[derive(serde::Serialize)]
struct LivenessBody {
    live: bool,
}

/// The body of `/ready`.
#[derive(serde::Serialize)]
struct ReadinessBody {
    ready: bool,
    reason: String,
    version: Version,
}

/// Whether a node may be sent calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Readiness {
    /// The node holds no complete configuration version yet.
    Empty,
    /// The node holds a complete configuration version.
    Ready,
    /// The node is stopping: it finishes the calls in flight and leaves.
    Draining,
}

impl Readiness {
    /// Returns the readiness of the node that `sources` belong to.
    fn of(sources: &Sources) -> Self {
        if sources.stop.is_cancelled() {
            return Self::Draining;
        }
        if sources.meter.version_held() == Version::default() {
            return Self::Empty;
        }
        Self::Ready
    }
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "no complete configuration version is held yet",
            Self::Ready => "a complete configuration version is held",
            Self::Draining => "the node is draining",
        })
    }
}

/// Serves `/live`: responds with 200 as long as the process can respond at all.
pub(crate) async fn live() -> HttpResponse {
    HttpResponse::Ok().json(LivenessBody { live: true })
}

/// Serves `/ready`: responds with 200 if the node may be sent calls, and 503 otherwise.
pub(crate) async fn ready(sources: Data<Sources>) -> HttpResponse {
    let readiness = Readiness::of(&sources);
    let mut response = match readiness {
        Readiness::Ready => HttpResponse::Ok(),
        Readiness::Empty | Readiness::Draining => HttpResponse::ServiceUnavailable(),
    };
    response.json(ReadinessBody {
        ready: readiness == Readiness::Ready,
        reason: readiness.to_string(),
        version: sources.meter.version_held(),
    })
}
