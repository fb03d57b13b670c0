//! The page `/dump`, which shows the state of the node.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::web::Data;
use cicadagw_ring::Sender;
use cicadagw_unit::id;
use serde_json::{Map, Value};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::problem::Problem;
use crate::reading::Reading;
use crate::sources::Sources;
use crate::{Request, redact};

/// The timeout of a request to the control or gossip duty.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// The field that holds the dump of the control or gossip duty if it is not a JSON object.
const CONTROL_FIELD: &str = "control";

/// The body of `/dump`: the fields of the control or gossip duty's dump, and the counters of all
/// duties.
#[derive(serde::Serialize)]
struct Dump<'s> {
    #[serde(flatten)]
    control: Map<String, Value>,
    counts: Reading,
    node: &'s id::Node,
}

/// Serves the state and the counters of the node, without secrets.
pub(crate) async fn page(
    control: Data<Sender<Request>>,
    sources: Data<Sources>,
) -> Result<HttpResponse, Problem> {
    let (reply, dump) = oneshot::channel();
    control
        .try_send(Request::Dump(reply))
        .map_err(|_| Problem::ControlTimeout)?;
    let mut control_dump = timeout(CONTROL_TIMEOUT, dump)
        .await
        .map_err(|_| Problem::ControlTimeout)?
        .map_err(|_| Problem::ControlTimeout)?;
    redact(&mut control_dump);
    let control = match control_dump {
        Value::Object(fields) => fields,
        other => Map::from_iter([(CONTROL_FIELD.to_owned(), other)]),
    };
    Ok(HttpResponse::Ok().json(Dump {
        control,
        counts: Reading::from(&**sources),
        node: &sources.node,
    }))
}
