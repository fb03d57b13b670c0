//! Rendering of events and effects as short lines for the recorded transcripts.

use cicadagw_control::platform::{Call, Purpose, Reply, Request, Response};
use cicadagw_control::{Dump, Effect, Event};
use cicadagw_endpoint::Record;
use cicadagw_platform::{Condition, Error};
use cicadagw_wire::down::Path;
use cicadagw_wire::link::{self, Command};
use cicadagw_wire::{Down, Reason, Refusal, Report, Up};

pub(crate) fn event(event: &Event) -> String {
    match event {
        Event::Shutdown => "shutdown".to_owned(),
        Event::Link(event) => link(event),
        Event::Local(local) => format!("local {} {:?}", local.endpoint, local.state),
        Event::Platform(reply) => format!("platform {}", response(reply)),
        Event::Tick => "tick".to_owned(),
    }
}

pub(crate) fn effect(effect: &Effect) -> String {
    match effect {
        Effect::Link(sent) => command(sent),
        Effect::Log(notice) => format!("log {notice}"),
        Effect::Platform(sent) => call(sent),
        Effect::Publish(view) => {
            let snapshot = view.snapshot.as_ref();
            let version =
                snapshot.map_or_else(|| "none".to_owned(), |s| s.stamp.version.to_string());
            let ready: usize = view.endpoints.values().map(Vec::len).sum();
            format!("publish version {version}, {ready} ready")
        }
    }
}

pub(crate) fn dump(dump: &Dump) -> String {
    let leases: Vec<_> = dump
        .leases
        .iter()
        .map(|(scope, state)| format!("{scope} {state}"))
        .collect();
    let children: Vec<_> = dump
        .children
        .iter()
        .map(|child| child.node.as_str())
        .collect();
    let endpoints: Vec<_> = dump.endpoints.records().cloned().collect();
    let refused = dump.refused.as_ref();
    let refused = refused.map_or_else(String::new, |(version, reason)| {
        format!("\nrefused {version}: {reason}")
    });
    format!(
        "held {} of {}\nuplink {} below {}\nleases {}\nchildren {}\nendpoints {}\nreport {}{refused}",
        dump.held.version,
        dump.highest_seen,
        dump.uplink,
        path(&dump.path.iter().cloned().collect()),
        leases.join(", "),
        children.join(" "),
        records(&endpoints),
        report(&dump.report),
    )
}

fn link(event: &link::Event) -> String {
    match event {
        link::Event::Opened { session } => format!("opened {session}"),
        link::Event::Refused { session, refusal } => {
            format!("refused {session} {}", reason(refusal))
        }
        link::Event::Down { session, message } => format!("down {session} {}", down(message)),
        link::Event::JoinRequested { session, hello } => format!(
            "joining {session} {} holding {}",
            hello.member.node, hello.held.version
        ),
        link::Event::Up { session, message } => format!("up {session} {}", up(message)),
        link::Event::Closed { session, .. } => format!("closed {session}"),
    }
}

fn command(command: &Command) -> String {
    match command {
        Command::Dial {
            session,
            address,
            hello,
        } => format!("dial {session} {address} holding {}", hello.held.version),
        Command::Up { session, message } => format!("up {session} {}", up(message)),
        Command::Accept { session } => format!("accept {session}"),
        Command::Refuse { session, refusal } => format!("refuse {session} {}", reason(refusal)),
        Command::Down { sessions, message } => {
            let sessions: Vec<_> = sessions.iter().map(ToString::to_string).collect();
            format!("down {} {}", sessions.join(","), down(message))
        }
        Command::Close { session } => format!("close {session}"),
    }
}

fn down(message: &Down) -> String {
    match message {
        Down::Heartbeat(stamp) => format!("beat {}", stamp.version),
        Down::Delta(delta) => format!("delta {} to {}", delta.from.version, delta.to.version),
        Down::Digests(digests) => format!("digests of {}", digests.len()),
        Down::Endpoints(updates) => format!("endpoints {}", records(updates)),
        Down::Path(nodes) => format!("path {}", path(nodes)),
        Down::Census => "census".to_owned(),
        Down::Snapshot(snapshot) => format!("whole {}", snapshot.stamp.version),
    }
}

fn up(message: &Up) -> String {
    match message {
        Up::Endpoints(updates) => format!("endpoints {}", records(updates)),
        Up::Present(nodes) => {
            let nodes: Vec<_> = nodes.iter().map(ToString::to_string).collect();
            format!("present {}", nodes.join(" "))
        }
        Up::Report(content) => format!("report {}", report(content)),
        Up::SnapshotRequest => "snapshot request".to_owned(),
    }
}

fn report(report: &Report) -> String {
    let laggards = report.laggards.iter().map(|laggard| {
        let reason = match &laggard.reason {
            Reason::Behind => "behind",
            Reason::Refused(reason) => reason.as_str(),
        };
        format!(", {} at {}: {reason}", laggard.node, laggard.held)
    });
    format!(
        "lowest {} of {}, {} serving{}",
        report.lowest,
        report.count,
        report.serving,
        laggards.collect::<String>()
    )
}

fn records(records: &[Record]) -> String {
    let records: Vec<_> = records
        .iter()
        .map(|record| format!("{}#{} {:?}", record.endpoint, record.sequence, record.state))
        .collect();
    records.join(", ")
}

fn path(path: &Path) -> String {
    let nodes: Vec<_> = path.iter().map(|member| member.node.as_str()).collect();
    nodes.join("/")
}

fn reason(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Full(members) => format!("full, see {}", path(&members.iter().cloned().collect())),
        Refusal::Busy(span) => format!("busy for {span}"),
        Refusal::Loop => "loop".to_owned(),
    }
}

fn call(call: &Call) -> String {
    match &call.request {
        Request::Get(key) => format!("get {}", short(key.as_str())),
        Request::Put { key, condition, .. } => match condition {
            Condition::Always => format!("put {key}"),
            Condition::Absent => format!("put {key} if absent"),
            Condition::Revision(revision) => format!("put {key} if at {revision}"),
        },
        Request::Watch { key, after, .. } => format!("watch {key} after {after}"),
    }
}

fn response(reply: &Reply) -> String {
    let purpose = match reply.purpose {
        Purpose::Directory => "directory".to_owned(),
        Purpose::Head => "head".to_owned(),
        Purpose::Lease(scope) => format!("{scope} lease"),
        Purpose::Part(index) => format!("part {index}"),
        Purpose::Status => "status".to_owned(),
    };
    let outcome = match &reply.outcome {
        Ok(Response::Object(Some(object))) => format!("read at {}", object.revision),
        Ok(Response::Object(None)) => "nothing".to_owned(),
        Ok(Response::Written(revision)) => format!("written at {revision}"),
        Err(Error::Conflict) => "conflict".to_owned(),
        Err(Error::Compacted) => "compacted".to_owned(),
        Err(Error::Restored) => "restored".to_owned(),
        Err(Error::Unavailable(_)) => "unavailable".to_owned(),
        Err(Error::Unknown(_)) => "response lost".to_owned(),
        Err(Error::Refused(_)) => "refused".to_owned(),
    };
    format!("{purpose}: {outcome}")
}

/// Shortens the digest in the key of a part to its first four characters.
fn short(key: &str) -> &str {
    if key.starts_with("part/") {
        &key[..9]
    } else {
        key
    }
}
