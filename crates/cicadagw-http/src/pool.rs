//! A pool of client connections to one server.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::client::Connection;

/// Timeouts of the connections to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// The maximum duration of connection establishment.
    pub connect_timeout: Duration,
    /// The maximum time for which an idle connection is kept.
    pub idle_timeout: Duration,
    /// The time after which a connection with unacknowledged sent bytes is considered lost
    /// (`TCP_USER_TIMEOUT`).
    pub tcp_user_timeout: Duration,
}

/// A pool of idle connections to one server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    options: Options,
    idle: RefCell<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    expires: Instant,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr, options: Options) -> Rc<Self> {
        Rc::new(Self {
            address,
            options,
            idle: RefCell::default(),
        })
    }

    /// Returns the address of the server.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a connection that was idle for less than `idle_max`, preferring the most recently
    /// used one, or opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error when a new connection cannot be established within the connect timeout, or
    /// its socket options cannot be set.
    pub async fn open(self: &Rc<Self>, idle_max: Duration) -> io::Result<Connection> {
        let now = Instant::now();
        loop {
            let Some(entry) = self.idle.borrow_mut().pop() else {
                return self.connect().await;
            };
            let is_fresh = now < entry.expires && now.duration_since(entry.since) < idle_max;
            if is_fresh && entry.connection.is_usable() {
                return Ok(entry.connection);
            }
        }
    }

    /// Closes connections that exceeded their idle timeout.
    pub fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|entry| now < entry.expires);
    }

    /// Closes all idle connections, because another one of the pool has fallen silent: what made it
    /// so has likely affected them as well.
    pub fn drop_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Puts a connection back into the pool. `server_idle_timeout` is the idle timeout announced by the
    /// server, if any.
    pub(crate) fn put_back(&self, connection: Connection, server_idle_timeout: Option<Duration>) {
        let since = Instant::now();
        let idle = server_idle_timeout.map_or(self.options.idle_timeout, |server_idle_timeout| {
            server_idle_timeout.min(self.options.idle_timeout)
        });
        self.idle.borrow_mut().push(IdleConnection {
            connection,
            since,
            expires: since + idle,
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
