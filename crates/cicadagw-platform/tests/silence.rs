//! Tests of the client on connections that fall silent without a reset.

use std::cell::Cell;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cicadagw_platform::http::Client;
use cicadagw_platform::{Error, Key, Revision, Store};
use cicadagw_unit::time::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time within which a dead connection must be noticed, so that a change can be in force on every
/// node within 3 s.
const NOTICED_MAX: Duration = Duration::from_millis(2_500);

/// Timeout of the client's calls.
const CALL_TIMEOUT: Span = Span::new(300);

/// The state of a timer in `/proc/net/tcp` that stands for a keep-alive probe.
const KEEP_ALIVE_TIMER: &str = "02";

/// The epoch in which the server answers nothing at all.
const SILENT: u32 = u32::MAX;

/// A platform that falls silent on all connections that are open at that time.
struct Server {
    address: SocketAddr,
    /// Incremented when the open connections fall silent.
    epoch: Rc<Cell<u32>>,
}

/// Starts a server that answers each request with an empty list of keys, until its connection has
/// fallen silent.
async fn start_server() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let epoch = Rc::new(Cell::new(0));
    let current = epoch.clone();
    actix::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix::spawn(serve(stream, current.clone()));
        }
    });
    Server { address, epoch }
}

async fn serve(mut stream: TcpStream, epoch: Rc<Cell<u32>>) {
    let opened_in = epoch.get();
    let mut request = [0; 4_096];
    while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
        // Concurrent requests need connections of their own.
        tokio::time::sleep(Duration::from_millis(20)).await;
        if epoch.get() != opened_in || opened_in == SILENT {
            std::future::pending::<()>().await;
        }
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]";
        stream.write_all(response).await.unwrap();
    }
}

fn client(server: &Server) -> Client {
    Client::builder()
        .addresses(&[server.address])
        .timeout(CALL_TIMEOUT)
        .build()
}

/// Returns the time until the kernel probes the idle connection to `port`, if it does.
fn time_to_probe(port: u16) -> Option<Duration> {
    let remote = format!(":{port:04X}");
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let mut timers = table.lines().filter_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let (timer, ticks) = columns.get(5)?.split_once(':')?;
        let is_client = columns.get(2)?.ends_with(&remote);
        (is_client && timer == KEEP_ALIVE_TIMER).then_some(ticks)
    });
    let ticks = timers.next_back()?;
    // The kernel shows timers in hundredths of a second.
    let hundredths = u64::from_str_radix(ticks, 16).unwrap();
    Some(Duration::from_millis(hundredths * 10))
}

#[actix::test]
async fn a_watch_on_a_silent_connection_is_probed_before_its_own_timeout() {
    let server = start_server().await;
    server.epoch.set(SILENT);
    let client = client(&server);
    let key = Key::head();

    let watching = client.watch(&key, Revision::new(1), Span::seconds(20));
    let probing = async {
        let begin = Instant::now();
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let time = time_to_probe(server.address.port());
            if time.is_some() || begin.elapsed() > Duration::from_secs(1) {
                return time;
            }
        }
    };
    let time = tokio::select! {
        _ = watching => None,
        time = probing => time,
    };

    let time = time.expect("the connection is probed");
    assert!(
        time <= NOTICED_MAX,
        "the first probe is sent after {time:?}"
    );
}

#[actix::test]
async fn a_call_after_a_timeout_uses_no_connection_that_was_open_before() {
    let server = start_server().await;
    let client = client(&server);
    let list = || client.list("node/");
    // Two concurrent calls leave two idle connections.
    let (first, second) = tokio::join!(list(), list());
    assert!(first.is_ok() && second.is_ok());

    server.epoch.set(1);
    let timed_out = list().await;
    let next = list().await;

    assert!(
        matches!(timed_out, Err(Error::Unavailable(_))),
        "{timed_out:?}"
    );
    assert_eq!(next, Ok(Vec::new()));
}
