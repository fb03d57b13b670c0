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

/// The timeout of a call to the platform; the wait of a watch is added to it.
const CALL_TIMEOUT: Span = Span::seconds(2);

/// Makes calls concurrently until `cancel` is cancelled or the ring of calls is closed. The
/// `User-Agent` header of the calls is the name of the node.
pub(crate) async fn run(
    settings: Settings,
    rings: rings::Platform,
    meter: Meter,
    cancel: CancellationToken,
) -> io::Result<()> {
    let client = Client::builder()
        .addresses(&settings.platform)
        .agent(settings.node.as_str())
        .timeout(CALL_TIMEOUT)
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
            let purpose = call.purpose;
            let executing = actix::spawn(async move { execute(&*client, call, &meter).await });
            let reply = executing.await.unwrap_or_else(|error| {
                log::error!(error:%, next = "the call counts as failed"; "a call to the platform panicked");
                let reason = "the call ended with a panic".to_owned();
                let outcome = Err(Error::Unavailable(reason));
                Reply { purpose, outcome }
            });
            // Sending fails only when the control duty has ended, and then the reply is not needed.
            let _ = replies.send(reply).await;
        });
    }
}

/// Makes one call, counts it, and returns its reply. A conflict is an expected outcome of a
/// conditional write; all other errors count as failed.
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
