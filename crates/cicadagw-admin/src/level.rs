//! The page `/log-level`, which sets the log level.

use actix_web::HttpResponse;
use actix_web::web::{Bytes, Data};
use cicadagw_settings::Level;

use crate::problem::Problem;

/// The function that sets the log level of the process.
pub(crate) struct LevelSetter(pub(crate) fn(Level));

/// The body of a request, and of its response, which confirms the level.
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
struct Change {
    level: Level,
}

/// Serves a request to set the log level.
pub(crate) async fn page(setter: Data<LevelSetter>, body: Bytes) -> Result<HttpResponse, Problem> {
    let change: Change =
        serde_json::from_slice(&body).map_err(|error| Problem::InvalidBody(error.to_string()))?;
    setter.0(change.level);
    log::info!(level:% = change.level; "changed the log level");
    Ok(HttpResponse::Ok().json(change))
}
