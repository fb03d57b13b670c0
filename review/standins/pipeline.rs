//! Clients that send further idempotent requests before a download is answered, and a planned stop
//! of their node.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, Route};
use crate::http::{Reader, open};
use crate::instance::{Answer, Instance, Run};
use crate::node::{Place, SIGTERM};
use crate::record::Record;

/// How long a byte is on its way between a client and its node ("8 ms to clients").
const LATENCY: Duration = Duration::from_millis(8);

/// The work and the mean response size of a download, as the sheet and the site file state them.
const DOWNLOAD_WORK: Duration = Duration::from_millis(72);
const DOWNLOAD_BYTES: usize = 90_000;

/// The mean response size of the other idempotent requests.
const ARCHIVE_BYTES: usize = 1_500;

const CLIENTS: u64 = 6;

/// The pause between a download and the further request behind it, and between two downloads.
const FURTHER_MS: (u64, u64) = (40, 160);
const NEXT_MS: (u64, u64) = (10, 50);

const DEADLINE: Duration = Duration::from_millis(1_500);

/// From the bounds of the deployment.
const GRACE: Duration = Duration::from_secs(6);

/// How long clients go on after the signal: two missed readiness checks, a second apart, end it.
const WORK_AFTER_SIGNAL: Duration = Duration::from_millis(1_800);

/// A request as its client sees it.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: Duration,
    /// When the connection ended without its complete response.
    cut: Option<Duration>,
}

pub fn run(record: &Record, trouble: &str) -> io::Result<Verdict> {
    let deployment = Deployment::start(record)?;
    let route = |name, prefix, kind| Route {
        name,
        host: "media.example",
        prefix,
        kind,
        timeout: "1500ms",
        latency: "400ms",
        service: "media",
    };
    let routes = [
        route("r-guide", "/guide/", "download"),
        route("r-archive", "/archive/", "idempotent"),
    ];
    deployment.configure(3, &["catalogue", "media"], &routes);
    let place = |name, service| Place {
        name,
        service,
        zone: "kochi-a",
        region: "kochi",
        link: "30Mbit/s",
        is_late: false,
    };
    let mut caller = deployment.node(&place("sidecar-kochi-a-1", "catalogue"))?;
    let other = deployment.node(&place("sidecar-kochi-a-2", "media"))?;
    let work = Box::new(|run: &Run| {
        if run.target.starts_with("/guide/") {
            (DOWNLOAD_WORK, Answer::Whole(DOWNLOAD_BYTES))
        } else {
            (DOWNLOAD_WORK, Answer::Whole(ARCHIVE_BYTES))
        }
    });
    let named = ("i-media-1", "media", "kochi-a");
    let instance = Instance::start(named, other.announce, record, work)?;
    thread::sleep(Duration::from_secs(2));

    let is_over = Arc::new(AtomicBool::new(false));
    let proxy = start_proxy(caller.calls)?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (is_over, record) = (is_over.clone(), record.clone());
            thread::spawn(move || Client::new(number, proxy, record).run(&is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let signalled = record.now();
    if trouble != "0" {
        caller.signal(SIGTERM);
    }
    thread::sleep(WORK_AFTER_SIGNAL);
    is_over.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    if trouble != "0" {
        caller.wait(GRACE + Duration::from_secs(1));
    }

    let runs = instance.runs();
    let until = signalled + GRACE + Duration::from_secs(1);
    let mut broken = Vec::new();
    for request in &sent {
        let Some(cut) = request.cut else {
            continue;
        };
        let run = runs.iter().find(|run| run.id == request.id);
        let is_planned = (signalled..until).contains(&request.at);
        let has_time = cut < request.at + DEADLINE;
        let Some(run) = run else {
            record.add(format!(
                "CHECK {}: cut, but not passed on to an instance",
                request.id
            ));
            continue;
        };
        record.add(format!(
            "CHECK {}: sent at {:.4}, run from {:.4}, its connection ended at {:.4} without a response",
            request.id,
            request.at.as_secs_f64(),
            run.at.as_secs_f64(),
            cut.as_secs_f64()
        ));
        if is_planned && has_time {
            broken.push(request.id.clone());
        }
    }
    let seen = format!(
        "{} requests, {} of them passed on to an instance and cut without a response after SIGTERM {}",
        sent.len(),
        broken.len(),
        broken.join(" ")
    );
    Ok(Verdict {
        held: broken.is_empty(),
        seen,
    })
}

struct Client {
    number: u64,
    node: SocketAddr,
    record: Record,
    sent: Vec<Sent>,
    random: u64,
}

/// What a client shares with the thread that reads its responses.
#[derive(Default)]
struct Connection {
    /// The requests that await their responses, oldest first.
    outstanding: Mutex<VecDeque<String>>,
    /// Set once a response head says that the connection closes.
    closes: AtomicBool,
    ended: AtomicBool,
}

impl Client {
    fn new(number: u64, node: SocketAddr, record: Record) -> Self {
        Self {
            number,
            node,
            record,
            sent: Vec::new(),
            random: number + 1,
        }
    }

    fn run(mut self, is_over: &AtomicBool) -> Vec<Sent> {
        while !is_over.load(Ordering::SeqCst) {
            if self.use_connection(is_over).is_err() {
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.sent
    }

    fn pause(&mut self, (least, most): (u64, u64)) -> Duration {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        Duration::from_millis(least + (self.random >> 33) % (most - least))
    }

    fn send(
        &mut self,
        stream: &mut TcpStream,
        connection: &Connection,
        target: &str,
    ) -> io::Result<()> {
        let id = format!("c{}-{}", self.number, self.sent.len());
        let message = format!(
            "GET {target} HTTP/1.1\r\nHost: media.example\r\nCicadagw-Attempt-Id: {id}\r\nCicadagw-Deadline-Ms: {}\r\n\r\n",
            DEADLINE.as_millis()
        );
        connection.outstanding.lock().unwrap().push_back(id.clone());
        stream.write_all(message.as_bytes())?;
        let at = self.record.add(format!("CLIENT sends {id} {target}"));
        self.sent.push(Sent { id, at, cut: None });
        Ok(())
    }

    /// Sends requests on one connection until a response says that it closes; then waits for the
    /// rest of the responses.
    fn use_connection(&mut self, is_over: &AtomicBool) -> io::Result<()> {
        let mut stream = open(self.node, Duration::from_secs(4))?;
        let connection = Arc::new(Connection::default());
        let (done, reading) = mpsc::channel();
        let (reader, shared, record) =
            (stream.try_clone()?, connection.clone(), self.record.clone());
        thread::spawn(move || {
            let why = read_responses(reader, &shared, &record);
            shared.ended.store(true, Ordering::SeqCst);
            done.send((record.now(), why)).ok();
        });
        let is_open = || {
            !connection.closes.load(Ordering::SeqCst) && !connection.ended.load(Ordering::SeqCst)
        };
        let sleep_while_open = |pause| {
            let until = Instant::now() + pause;
            while is_open() && Instant::now() < until {
                thread::sleep(Duration::from_millis(1));
            }
        };
        while is_open() && !is_over.load(Ordering::SeqCst) {
            self.send(&mut stream, &connection, "/guide/2f")?;
            sleep_while_open(self.pause(FURTHER_MS));
            if is_open() {
                self.send(&mut stream, &connection, "/archive/2f")?;
            }
            while is_open() && !connection.outstanding.lock().unwrap().is_empty() {
                thread::sleep(Duration::from_millis(1));
            }
            sleep_while_open(self.pause(NEXT_MS));
        }
        // The rest of the responses; the client closes an idle connection itself.
        let until = Instant::now() + DEADLINE * 2;
        while !connection.outstanding.lock().unwrap().is_empty()
            && !connection.ended.load(Ordering::SeqCst)
            && Instant::now() < until
        {
            thread::sleep(Duration::from_millis(1));
        }
        let left: Vec<String> = connection
            .outstanding
            .lock()
            .unwrap()
            .iter()
            .cloned()
            .collect();
        stream.shutdown(Shutdown::Both).ok();
        let (ended, why) = reading
            .recv()
            .unwrap_or_else(|_| (self.record.now(), "unknown".to_owned()));
        for id in left {
            self.record.add(format!(
                "CLIENT {id}: no response, the connection ended: {why}"
            ));
            if let Some(sent) = self.sent.iter_mut().find(|sent| sent.id == id) {
                sent.cut = Some(ended);
            }
        }
        Ok(())
    }
}

/// Reads responses in the order of the requests until the connection ends; returns why it ended.
fn read_responses(stream: TcpStream, connection: &Connection, record: &Record) -> String {
    let mut reader = Reader::new(stream);
    loop {
        let head = match reader.head() {
            Ok(Some(head)) => head,
            Ok(None) => return "closed by the node".to_owned(),
            Err(error) => return error.to_string(),
        };
        if head.closes() {
            connection.closes.store(true, Ordering::SeqCst);
        }
        if let Err(error) = reader.body(&head) {
            return format!("within a response: {error}");
        }
        let id = connection.outstanding.lock().unwrap().pop_front();
        record.add(format!(
            "CLIENT {}: {}{}",
            id.unwrap_or_default(),
            head.status(),
            if head.closes() {
                ", connection: close"
            } else {
                ""
            }
        ));
    }
}

/// Starts a proxy that delivers each byte, and the end of a connection, after [`LATENCY`].
fn start_proxy(target: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(node) = TcpStream::connect(target) else {
                continue;
            };
            client.set_nodelay(true).ok();
            node.set_nodelay(true).ok();
            if let (Ok(from_client), Ok(from_node)) = (client.try_clone(), node.try_clone()) {
                delay(from_client, node);
                delay(from_node, client);
            }
        }
    });
    Ok(address)
}

/// Passes the bytes of `from` on to `to` after [`LATENCY`].
fn delay(mut from: TcpStream, mut to: TcpStream) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut chunk = vec![0; 16 << 10];
        while let Ok(length @ 1..) = from.read(&mut chunk) {
            let part = chunk[..length].to_vec();
            if sender.send((Instant::now() + LATENCY, part)).is_err() {
                return;
            }
        }
        sender.send((Instant::now() + LATENCY, Vec::new())).ok();
    });
    thread::spawn(move || {
        for (at, part) in receiver {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if part.is_empty() || to.write_all(&part).is_err() {
                break;
            }
        }
        to.shutdown(Shutdown::Write).ok();
    });
}
