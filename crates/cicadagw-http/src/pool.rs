//! A pool of client connections to one server.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::client::Connection;

/// The maximum idle time of a connection that counts as alive without new evidence.
pub const ALIVE_IDLE_MAX: Duration = Duration::from_millis(100);

/// Timeouts of the connections to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// The maximum duration of connection establishment.
    pub connect_timeout: Duration,
    /// The maximum time for which an idle connection is kept.
    pub idle_timeout: Duration,
    /// The time after which a connection with unacknowledged sent bytes is considered lost
    /// (`TCP_USER_TIMEOUT`). It does not apply to a request with a long body once the server is known
    /// to be alive; see [`Framing::is_long`](crate::Framing::is_long).
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

    /// Returns the most recently used connection if it was idle for less than `idle_max`, or else
    /// opens a new one in its place.
    ///
    /// # Errors
    ///
    /// Returns an error when a new connection cannot be established within the connect timeout, or
    /// its socket options cannot be set.
    pub async fn open(self: &Rc<Self>, idle_max: Duration) -> io::Result<Connection> {
        let now = Instant::now();
        loop {
            let Some(mut entry) = self.idle.borrow_mut().pop() else {
                return self.connect().await;
            };
            if now >= entry.expires || !entry.connection.is_usable() {
                continue;
            }
            let idle = now.duration_since(entry.since);
            if idle >= idle_max {
                // The remaining connections have been idle for longer.
                return self.connect().await;
            }
            entry.connection.is_alive = idle < ALIVE_IDLE_MAX;
            return Ok(entry.connection);
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
    pub(crate) fn put_back(
        &self,
        mut connection: Connection,
        server_idle_timeout: Option<Duration>,
    ) {
        if !connection.is_bounded {
            if let Err(error) = self.bound_silence(connection.stream()) {
                log::debug!(error:%; "closed a connection whose options cannot be set");
                return;
            }
            connection.is_bounded = true;
        }
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
        self.bound_silence(&stream)?;
        release_port(&stream);
        Ok(Connection::new(stream, Rc::downgrade(self)))
    }

    /// Sets the time after which unacknowledged bytes end a connection.
    fn bound_silence(&self, stream: &TcpStream) -> io::Result<()> {
        let socket = socket2::SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(self.options.tcp_user_timeout))
    }
}

/// Lets listeners bind the local address of an outgoing connection, while it is open and for the
/// time after its close for which the system keeps the address.
pub fn release_port(stream: &TcpStream) {
    if let Err(error) = socket2::SockRef::from(stream).set_reuse_address(true) {
        log::debug!(error:%; "no listener can have the port of an outgoing connection");
    }
}
