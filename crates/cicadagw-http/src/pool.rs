//! Connections to one server.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::client::Connection;

/// How connections to a server are made and kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long the making of a connection may take.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept at the most.
    pub idle_timeout: Duration,
    /// After how long without an acknowledgement of bytes sent a connection counts as lost.
    pub tcp_user_timeout: Duration,
}

/// The connections to one server that wait for their next request.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    options: Options,
    idle: RefCell<Vec<Kept>>,
}

#[derive(Debug)]
struct Kept {
    connection: Connection,
    since: Instant,
    until: Instant,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, options: Options) -> Rc<Self> {
        Rc::new(Self {
            address,
            options,
            idle: RefCell::default(),
        })
    }

    /// Returns where the server is.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a connection that was idle for less than `idle_max`, the one used last first, or a new
    /// one.
    ///
    /// # Errors
    ///
    /// When no connection can be made in time.
    pub async fn open(self: &Rc<Self>, idle_max: Duration) -> io::Result<Connection> {
        let now = Instant::now();
        loop {
            let Some(kept) = self.idle.borrow_mut().pop() else {
                return self.connect().await;
            };
            let is_fresh = now < kept.until && now.duration_since(kept.since) < idle_max;
            if is_fresh && kept.connection.is_quiet() {
                return Ok(kept.connection);
            }
        }
    }

    /// Closes the connections that were idle for too long.
    pub fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|kept| now < kept.until);
    }

    /// Returns how many connections are idle.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Takes back a connection that its server keeps for `allowed`, if it says so.
    pub(crate) fn keep(&self, connection: Connection, allowed: Option<Duration>) {
        let since = Instant::now();
        let idle = allowed.map_or(self.options.idle_timeout, |allowed| {
            allowed.min(self.options.idle_timeout)
        });
        self.idle.borrow_mut().push(Kept {
            connection,
            since,
            until: since + idle,
        });
    }

    async fn connect(self: &Rc<Self>) -> io::Result<Connection> {
        let connecting = timeout(
            self.options.connect_timeout,
            TcpStream::connect(self.address),
        );
        let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(self.options.tcp_user_timeout))?;
        Ok(Connection::new(stream, Rc::downgrade(self)))
    }
}
