//! The page `/log-level`.

use actix_web::HttpResponse;
use actix_web::web::{Bytes, Data};
use cicadagw_settings::Level;

use crate::problem::Problem;

/// Changes the log level of the process.
pub(crate) struct Setter(pub(crate) fn(Level));

/// The body of a request, and of its answer.
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
struct Change {
    level: Level,
}

/// Changes the log level.
pub(crate) async fn page(setter: Data<Setter>, body: Bytes) -> Result<HttpResponse, Problem> {
    let change: Change =
        serde_json::from_slice(&body).map_err(|error| Problem::Body(error.to_string()))?;
    setter.0(change.level);
    log::info!(level:% = change.level; "changed the log level");
    Ok(HttpResponse::Ok().json(change))
}
