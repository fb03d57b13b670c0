//! Binding of the listen addresses at startup.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rustix::io::Errno;
use socket2::{Domain, Socket, Type};
use tokio::runtime::Builder;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::Error;

/// The maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// A transport protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transport {
    /// Connections are accepted.
    Tcp,
    /// Datagrams are received.
    Udp,
}

/// A listen address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// The settings key.
    pub key: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The protocol.
    pub transport: Transport,
}

impl Listen {
    /// Creates the address of the settings key `key`.
    pub const fn new(key: &'static str, address: SocketAddr, transport: Transport) -> Self {
        Self {
            key,
            address,
            transport,
        }
    }
}

/// How long to try to bind addresses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    /// The pause between two attempts.
    pub interval: Duration,
    /// The time after which to give up.
    pub limit: Duration,
}

/// The patience of a node that starts.
///
/// The system keeps the address of a TCP connection that was closed for 60 s; the limit is above
/// that.
pub const STARTUP: Patience = Patience {
    interval: Duration::from_millis(100),
    limit: Duration::from_secs(70),
};

/// What to do after addresses could not be bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// End with the errors of the attempt.
    GiveUp,
    /// Try again after the interval.
    Retry,
}

impl Patience {
    /// Decides after an attempt that ended with `errors`, `waited` after the first one.
    pub fn decide<'a>(
        &self,
        waited: Duration,
        errors: impl IntoIterator<Item = &'a io::Error>,
    ) -> Decision {
        if waited < self.limit && errors.into_iter().all(may_pass) {
            Decision::Retry
        } else {
            Decision::GiveUp
        }
    }
}

/// Returns whether the cause of the error may pass by itself: an address that is in use or not
/// configured yet, or a lack of descriptors, buffers or memory.
fn may_pass(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::ADDRINUSE
                | Errno::ADDRNOTAVAIL
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
        )
    )
}

/// Opens a socket for each of the addresses, in their order, and waits within `patience` for those
/// that cannot be bound yet. Returns `None` if `stop` was cancelled meanwhile.
///
/// No connection is accepted before all addresses are bound: callers are refused at once and can turn
/// to another node.
///
/// # Errors
///
/// Fails with [`Error::Sockets`], which names every address that cannot be bound.
pub fn bind<const N: usize>(
    addresses: [Listen; N],
    patience: Patience,
    stop: &CancellationToken,
) -> Result<Option<[Socket; N]>, Error> {
    let begin = Instant::now();
    let mut opened = [const { None }; N];
    let mut reported = None;
    loop {
        let failures = open(&addresses, &mut opened);
        let waited_ms = begin.elapsed().as_millis();
        if failures.is_empty() {
            if reported.is_some() {
                log::info!(waited_ms:%; "all addresses are bound");
            }
            let sockets: Vec<_> = opened.into_iter().flatten().collect();
            return Ok(sockets.try_into().ok());
        }
        let errors = failures.iter().map(|(.., error)| error);
        let decision = patience.decide(begin.elapsed(), errors);
        let error = Error::Sockets(failures);
        if decision == Decision::GiveUp {
            return Err(error);
        }
        let text = error.to_string();
        if reported.as_ref() != Some(&text) {
            let limit_ms = patience.limit.as_millis();
            log::warn!(error = text.as_str(), limit_ms:%, next = "tries again"; "addresses cannot be bound yet");
            reported = Some(text);
        }
        if is_stopped_within(patience.interval, stop) {
            log::info!(waited_ms:%; "stopped before all addresses were bound");
            return Ok(None);
        }
    }
}

/// Opens the sockets that are missing in `opened`, and listens once none is missing. Returns the key,
/// the address and the error of each that failed. If one of them cannot listen, since another process
/// listens there meanwhile, all are closed: those that listen already would take connections that
/// nobody serves.
fn open(
    addresses: &[Listen],
    opened: &mut [Option<Socket>],
) -> Vec<(&'static str, SocketAddr, io::Error)> {
    let mut failures = Vec::new();
    for (listen, socket) in addresses.iter().zip(opened.iter_mut()) {
        if socket.is_none() {
            match open_one(*listen) {
                Ok(bound) => *socket = Some(bound),
                Err(error) => failures.push((listen.key, listen.address, error)),
            }
        }
    }
    if failures.is_empty() {
        for (listen, socket) in addresses.iter().zip(opened.iter()) {
            if listen.transport == Transport::Tcp
                && let Some(Err(error)) = socket.as_ref().map(|socket| socket.listen(BACKLOG))
            {
                failures.push((listen.key, listen.address, error));
            }
        }
        if !failures.is_empty() {
            opened.fill_with(|| None);
        }
    }
    failures
}

/// Opens and binds a socket, which does not listen yet.
fn open_one(listen: Listen) -> io::Result<Socket> {
    let domain = Domain::for_address(listen.address);
    let socket = match listen.transport {
        Transport::Tcp => {
            let socket = Socket::new(domain, Type::STREAM, None)?;
            // Connections of a predecessor may still be closing.
            socket.set_reuse_address(true)?;
            socket
        }
        Transport::Udp => Socket::new(domain, Type::DGRAM, None)?,
    };
    socket.bind(&listen.address.into())?;
    Ok(socket)
}

/// Waits until `stop` is cancelled, for `time` at most; returns whether it is cancelled.
fn is_stopped_within(time: Duration, stop: &CancellationToken) -> bool {
    let runtime = Builder::new_current_thread().enable_time().build();
    let Ok(runtime) = runtime else {
        thread::sleep(time);
        return stop.is_cancelled();
    };
    runtime.block_on(async { timeout(time, stop.cancelled()).await.is_ok() })
}
