//! The pages `/live` and `/ready`.

use actix_web::HttpResponse;
use actix_web::web::Data;
use cicadagw_meter::{Meter, Readiness};
use cicadagw_unit::Version;

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

/// Answers as long as the process works.
pub(crate) async fn live() -> HttpResponse {
    HttpResponse::Ok().json(Liveness { live: true })
}

/// Tells whether the node may be given calls.
pub(crate) async fn ready(meter: Data<Meter>) -> HttpResponse {
    let readiness = meter.readiness();
    let mut response = match readiness {
        Readiness::Ready => HttpResponse::Ok(),
        Readiness::Empty | Readiness::Draining => HttpResponse::ServiceUnavailable(),
    };
    response.json(Answer {
        ready: readiness == Readiness::Ready,
        reason: readiness.to_string(),
        version: meter.held(),
    })
}
