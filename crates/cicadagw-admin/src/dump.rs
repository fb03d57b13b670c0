//! The page `/dump`.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::web::Data;
use cicadagw_meter::{Meter, Reading};
use cicadagw_ring::Sender;
use cicadagw_unit::id;
use serde_json::{Map, Value};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::problem::Problem;
use crate::{Request, redact};

/// How long the control duty may take to answer.
const CONTROL_WAIT: Duration = Duration::from_secs(2);

/// Where a dump comes from.
pub(crate) struct State {
    pub(crate) control: Sender<Request>,
    pub(crate) meter: Meter,
    pub(crate) node: id::Node,
}

/// The name under which a dump of control stands that is no table.
const CONTROL: &str = "control";

/// The body of `/dump`: what the control duty tells, joined with what the meter shows.
#[derive(serde::Serialize)]
struct Dump<'s> {
    #[serde(flatten)]
    control: Map<String, Value>,
    meter: Reading,
    node: &'s id::Node,
}

/// Shows all that the node knows, without secrets.
pub(crate) async fn page(state: Data<State>) -> Result<HttpResponse, Problem> {
    let (reply, answer) = oneshot::channel();
    state
        .control
        .offer(Request::Dump(reply))
        .map_err(|_| Problem::Busy)?;
    let mut control = timeout(CONTROL_WAIT, answer)
        .await
        .map_err(|_| Problem::Busy)?
        .map_err(|_| Problem::Busy)?;
    redact(&mut control);
    let control = match control {
        Value::Object(fields) => fields,
        other => Map::from_iter([(CONTROL.to_owned(), other)]),
    };
    Ok(HttpResponse::Ok().json(Dump {
        control,
        meter: state.meter.read(),
        node: &state.node,
    }))
}
