//! The main loop of the links duty: executes commands and accepts connections.

use std::io;
use std::sync::Arc;

use cicadagw_wire::Down;
use cicadagw_wire::link::{Command, LinkId};
use tokio::net::TcpListener;

use crate::links::{Encoded, Links, Peer, enqueue};
use crate::traffic::{Direction, Kind};
use crate::{Setup, child, codec, parent};

/// Runs the links duty until the `cancel` token of `setup` is cancelled or the ring of commands is
/// closed, and cancels `cancel` when it returns. Must run on a dedicated thread.
///
/// # Errors
///
/// Fails if the listener cannot be used.
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
    let command_loop = async {
        while let Some(command) = commands.recv().await {
            execute(&links, command);
            // Lets the tasks of the links empty their rings before the next command fills them
            // further.
            tokio::task::yield_now().await;
        }
    };
    let accept_loop = parent::accept_peers(&links, listener);
    // Both loops are dropped on return; cancelling the token ends the tasks of the links.
    tokio::select! {
        () = cancel.cancelled() => {}
        () = command_loop => {}
        () = accept_loop => {}
    }
    cancel.cancel();
    Ok(())
}

/// Executes a command of the control duty without awaiting, so that a slow link does not delay the
/// others.
fn execute(links: &Links, command: Command) {
    match command {
        Command::Accept { session } => links.respond_to_join(session, Ok(())),
        Command::Refuse { session, refusal } => links.respond_to_join(session, Err(refusal)),
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
                enqueue(ring, &link.closer, *message);
            }
        }
    }
}

/// Encodes `message` once, and counts and enqueues it for every child in `sessions` whose link is
/// open.
fn send_down(links: &Links, sessions: &[LinkId], message: &Down) {
    let open = links.open();
    if !sessions.iter().any(|session| open.contains_key(session)) {
        return;
    }
    let encoded: Encoded = Arc::from(codec::encode_down(message));
    for session in sessions {
        if let Some(link) = open.get(session)
            && let Peer::Child { reach, ring, .. } = &link.peer
        {
            links.traffic.add(
                Direction::Sent,
                *reach,
                Kind::from(message),
                encoded.get().len(),
            );
            enqueue(ring, &link.closer, Arc::clone(&encoded));
        }
    }
}
