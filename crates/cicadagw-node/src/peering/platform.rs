//! The platform duty: makes the calls that the gossip duty wants.

use std::io;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cicadagw_config::{Snapshot, part};
use cicadagw_gossip::{Call, Member, Reply};
use cicadagw_meter::{Meter, Operation, Success};
use cicadagw_platform::http::Client;
use cicadagw_platform::{Condition, Error, Freshness, Key, Object, Revision, Store};
use cicadagw_proxy::SNAPSHOT_PATH;
use cicadagw_settings::Settings;
use cicadagw_unit::time::Span;
use tokio_util::sync::CancellationToken;

use super::rings;
use crate::Adapter;

/// How long the platform may take to answer.
const ANSWER_MAX: Span = Span::seconds(2);

/// Makes calls until `cancel` is cancelled; they are made side by side.
pub(crate) async fn run(
    settings: Settings,
    adapter: Adapter,
    rings: rings::Platform,
    meter: Meter,
    cancel: CancellationToken,
) -> io::Result<()> {
    let client = Client::builder()
        .addresses(&settings.platform)
        .agent(settings.node.as_str())
        .answer(ANSWER_MAX)
        .encoding(adapter.encoding.clone())
        .build();
    let duty = Rc::new(Duty {
        adapter,
        client,
        meter,
    });
    loop {
        let call = tokio::select! {
            () = cancel.cancelled() => return Ok(()),
            call = rings.calls.recv() => call,
        };
        let Some(call) = call else { return Ok(()) };
        let duty = duty.clone();
        let replies = rings.replies.clone();
        actix::spawn(async move {
            let reply = duty.make(call).await;
            // Without the gossip duty nobody needs the reply.
            replies.send(reply).await.ok();
        });
    }
}

struct Duty {
    adapter: Adapter,
    client: Client,
    meter: Meter,
}

impl Duty {
    async fn make(&self, call: Call) -> Reply {
        match call {
            Call::Register { member, create } => {
                let outcome = self.register(&member, create).await;
                Reply::Registered(self.counted(Operation::Put, outcome))
            }
            Call::Members => {
                let outcome = self.members().await;
                Reply::Members(self.counted(Operation::Get, outcome))
            }
            Call::Read => {
                let outcome = self.read().await;
                Reply::Configuration(self.counted(Operation::Get, outcome))
            }
            Call::Watch { after, wait } => {
                let outcome = self.follow(after, wait).await;
                Reply::Configuration(self.counted(Operation::Watch, outcome))
            }
            Call::Fetch(address) => {
                let fetched = self.client.fetch(address, SNAPSHOT_PATH).await;
                Reply::Fetched(fetched.and_then(|bytes| unpack(&bytes)))
            }
        }
    }

    async fn register(&self, member: &Member, create: bool) -> Result<(), Error> {
        let value = serde_json::to_vec(member).expect("a member can be written as JSON");
        let condition = if create {
            Condition::Absent
        } else {
            Condition::Always
        };
        let key = Key::node(&member.node);
        let written = self.client.put(&key, Bytes::from(value), condition).await;
        written.map(|_| ())
    }

    async fn members(&self) -> Result<Vec<Member>, Error> {
        let objects = self
            .client
            .objects(Key::NODE_PREFIX, Freshness::Stale)
            .await?;
        Ok(objects.iter().filter_map(member).collect())
    }

    async fn read(&self) -> Result<(Revision, Option<Arc<Snapshot>>), Error> {
        match self.client.get(&Key::head()).await? {
            Some(object) => Ok((object.revision, self.decode(&object))),
            // There is nothing yet that could be followed.
            None => Err(Error::Compacted),
        }
    }

    async fn follow(
        &self,
        after: Revision,
        wait: Span,
    ) -> Result<(Revision, Option<Arc<Snapshot>>), Error> {
        let position = self.client.follow(&Key::head(), after, wait).await?;
        let snapshot = position.object.and_then(|object| self.decode(&object));
        Ok((position.at, snapshot))
    }

    /// Reads a configuration; one that cannot be read is left out whole.
    fn decode(&self, object: &Object) -> Option<Arc<Snapshot>> {
        (self.adapter.snapshot)(&object.value)
            .map(Arc::new)
            .map_err(|findings| {
                log::error!(revision:% = object.revision, findings:%, next = "the version held stays in force"; "a configuration cannot be read");
            })
            .ok()
    }

    fn counted<T>(&self, operation: Operation, outcome: Result<T, Error>) -> Result<T, Error> {
        let success = match outcome {
            Ok(_) | Err(Error::Conflict) => Success::Answered,
            Err(_) => Success::Failed,
        };
        self.meter.platform_called(operation, success);
        outcome
    }
}

fn member(object: &Object) -> Option<Member> {
    serde_json::from_slice(&object.value)
        .map_err(|error| {
            log::warn!(key:% = object.key, error:%; "what stands there of a node cannot be read");
        })
        .ok()
}

fn unpack(bytes: &[u8]) -> Result<Arc<Snapshot>, Error> {
    let snapshot: Snapshot =
        part::decompress(bytes).map_err(|error| Error::Refused(error.to_string()))?;
    if snapshot.is_intact() {
        Ok(Arc::new(snapshot))
    } else {
        let reason = "the content has another digest than it names";
        Err(Error::Refused(reason.to_owned()))
    }
}
