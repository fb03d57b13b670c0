//! The platform duty: makes the platform calls that the control duty requests.

use std::io;
use std::rc::Rc;

use cicadagw_control::platform::{Call, Reply, Request, Response};
use cicadagw_meter::{Meter, Operation, PlatformOutcome};
use cicadagw_platform::http::Client;
use cicadagw_platform::{Error, Store};
use cicadagw_settings::Settings;
use cicadagw_unit::time::Span;
use tokio_util::sync::CancellationToken;

use crate::rings;

/// How long the platform may take to answer a call.
const ANSWER_TIMEOUT: Span = Span::seconds(2);

/// Makes calls concurrently until `cancel` is cancelled.
pub(crate) async fn run(
    settings: Settings,
    rings: rings::Platform,
    meter: Meter,
    cancel: CancellationToken,
) -> io::Result<()> {
    let client = Client::builder()
        .addresses(&settings.platform)
        .agent(settings.node.as_str())
        .answer(ANSWER_TIMEOUT)
        .build();
    let client = Rc::new(client);
    loop {
        let call = tokio::select! {
            () = cancel.cancelled() => return Ok(()),
            call = rings.calls.recv() => call,
        };
        let Some(call) = call else { return Ok(()) };
        let client = Rc::clone(&client);
        let replies = rings.replies.clone();
        let meter = meter.clone();
        actix::spawn(async move {
            let reply = execute(&*client, call, &meter).await;
            // Sending fails only when the control duty has ended, and then nobody needs the reply.
            let _ = replies.send(reply).await;
        });
    }
}

/// Makes one call, counts it, and returns its reply.
async fn execute(store: &impl Store, call: Call, meter: &Meter) -> Reply {
    let (operation, outcome) = match call.request {
        Request::Get(key) => (Operation::Get, store.get(&key).await.map(Response::Object)),
        Request::Put {
            key,
            value,
            condition,
        } => {
            let written = store.put(&key, value.into(), condition).await;
            (Operation::Put, written.map(Response::Written))
        }
        Request::Watch { key, after, wait } => {
            let changed = store.watch(&key, after, wait).await;
            (Operation::Watch, changed.map(Response::Object))
        }
    };
    let platform_outcome = match outcome {
        Ok(_) | Err(Error::Conflict) => PlatformOutcome::Answered,
        Err(_) => PlatformOutcome::Failed,
    };
    meter.count_platform_call(operation, platform_outcome);
    Reply {
        purpose: call.purpose,
        outcome,
    }
}
