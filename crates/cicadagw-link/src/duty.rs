//! The duty itself: takes commands and peers until it is cancelled.

use std::io;
use std::sync::Arc;

use cicadagw_wire::Down;
use cicadagw_wire::link::{Command, Session};
use tokio::net::TcpListener;

use crate::links::{Encoded, Links, Peer, offer};
use crate::traffic::{Kind, Way};
use crate::{Setup, child, codec, parent};

/// Carries messages until the token of `setup` is cancelled; to be run on a thread of its own.
///
/// # Errors
///
/// When the listener cannot be used.
pub async fn run(setup: Setup) -> io::Result<()> {
    let Setup {
        listener,
        commands,
        events,
        cancel,
        limits,
        region,
        traffic,
    } = setup;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let links = Links::new(events, cancel.clone(), limits, region, traffic);
    let obey = async {
        while let Some(command) = commands.recv().await {
            obey(&links, command);
            // The tasks of the links empty their rings before the next command fills them further.
            tokio::task::yield_now().await;
        }
    };
    let take = parent::take_peers(&links, listener);
    // Ending drops the tasks of the duty; the token ends those of the links.
    tokio::select! {
        () = cancel.cancelled() => {}
        () = obey => {}
        () = take => {}
    }
    cancel.cancel();
    Ok(())
}

/// Does what the control duty wants; never waits, so that no link can hold up another.
fn obey(links: &Links, command: Command) {
    match command {
        Command::Accept { session } => links.answer(session, Ok(())),
        Command::Refuse { session, refusal } => links.answer(session, Err(refusal)),
        Command::Close { session } => links.close(session),
        Command::Dial {
            session,
            address,
            hello,
        } => child::dial(links, session, address, hello),
        Command::Down { sessions, message } => send_down(links, &sessions, &message),
        Command::Up { session, message } => {
            if let Some(link) = links.open().get(&session)
                && let Peer::Parent(ring) = &link.peer
            {
                offer(ring, &link.end, *message);
            }
        }
    }
}

/// Encodes `message` once and puts it into the rings of `sessions`.
fn send_down(links: &Links, sessions: &[Session], message: &Down) {
    let open = links.open();
    if !sessions.iter().any(|session| open.contains_key(session)) {
        return;
    }
    let encoded: Encoded = Arc::from(codec::encode_down(message));
    for session in sessions {
        if let Some(link) = open.get(session)
            && let Peer::Child { reach, ring, .. } = &link.peer
        {
            links
                .traffic
                .add(Way::Sent, *reach, Kind::from(message), encoded.get().len());
            offer(ring, &link.end, Arc::clone(&encoded));
        }
    }
}
