//! The page `/dump`.

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

/// How long the control duty may take to answer.
const CONTROL_WAIT: Duration = Duration::from_secs(2);

/// The name under which a dump of control stands that is no table.
const CONTROL: &str = "control";

/// The body of `/dump`: what the control duty tells, joined with what all duties count.
#[derive(serde::Serialize)]
struct Dump<'s> {
    #[serde(flatten)]
    control: Map<String, Value>,
    counts: Reading,
    node: &'s id::Node,
}

/// Shows all that the node knows, without secrets.
pub(crate) async fn page(
    control: Data<Sender<Request>>,
    sources: Data<Sources>,
) -> Result<HttpResponse, Problem> {
    let (reply, answer) = oneshot::channel();
    control
        .try_send(Request::Dump(reply))
        .map_err(|_| Problem::Busy)?;
    let mut told = timeout(CONTROL_WAIT, answer)
        .await
        .map_err(|_| Problem::Busy)?
        .map_err(|_| Problem::Busy)?;
    redact(&mut told);
    let control = match told {
        Value::Object(fields) => fields,
        other => Map::from_iter([(CONTROL.to_owned(), other)]),
    };
    Ok(HttpResponse::Ok().json(Dump {
        control,
        counts: Reading::from(&**sources),
        node: &sources.node,
    }))
}
