//! The pages `/live` and `/ready`.

use std::fmt;

use actix_web::HttpResponse;
use actix_web::web::Data;
use cicadagw_unit::Version;

use crate::sources::Sources;

/// The body of `/live`.
#[derive(serde::Serialize)]
struct Liveness {
    live: bool,
}

/// The body of `/ready`.
#[derive(serde::Serialize)]
struct Answer {
    ready: bool,
    reason: String,
    version: Version,
}

/// Whether a node may be given calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Readiness {
    /// The node holds no whole version yet.
    Empty,
    /// The node holds a whole version.
    Ready,
    /// The node finishes what is in flight and leaves.
    Draining,
}

impl Readiness {
    fn of(sources: &Sources) -> Self {
        if sources.stop.is_cancelled() {
            return Self::Draining;
        }
        if sources.meter.held() == Version::default() {
            return Self::Empty;
        }
        Self::Ready
    }
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "no whole version is held yet",
            Self::Ready => "a whole version is held",
            Self::Draining => "the node is draining",
        })
    }
}

/// Answers as long as the process works.
pub(crate) async fn live() -> HttpResponse {
    HttpResponse::Ok().json(Liveness { live: true })
}

/// Tells whether the node may be given calls.
pub(crate) async fn ready(sources: Data<Sources>) -> HttpResponse {
    let readiness = Readiness::of(&sources);
    let mut response = match readiness {
        Readiness::Ready => HttpResponse::Ok(),
        Readiness::Empty | Readiness::Draining => HttpResponse::ServiceUnavailable(),
    };
    response.json(Answer {
        ready: readiness == Readiness::Ready,
        reason: readiness.to_string(),
        version: sources.meter.held(),
    })
}
