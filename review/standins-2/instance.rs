//! A stand-in of an application instance: it announces itself to its node and runs requests.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, call};
use crate::record::Record;

/// The pause between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The time within which a heartbeat must be acknowledged.
const ACKNOWLEDGED: Duration = Duration::from_secs(1);

/// What an instance does with a request.
pub type Work = Box<dyn Fn(&Instance, &Message, &mut Connection) -> bool + Send + Sync>;

/// How an instance is started.
pub struct Setup<'s> {
    pub id: &'s str,
    pub service: &'s str,
    pub version: &'s str,
    pub zone: &'s str,
    /// The address of the instance; a port of 0 stands for a free one.
    pub address: SocketAddr,
    /// Where the node takes heartbeats.
    pub control: SocketAddr,
}

/// An instance.
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    version: String,
    zone: String,
    control: SocketAddr,
    sequence: AtomicU64,
    is_silent: AtomicBool,
    is_over: AtomicBool,
    record: Arc<Record>,
    streams: Mutex<Vec<TcpStream>>,
    work: Work,
}

/// Returns the time in Unix milliseconds.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Instance {
    pub fn start(setup: &Setup<'_>, record: &Arc<Record>, work: Work) -> Arc<Self> {
        let listener =
            TcpListener::bind(setup.address).expect("the address of an instance is free");
        let instance = Arc::new(Self {
            id: setup.id.to_owned(),
            service: setup.service.to_owned(),
            address: listener.local_addr().expect("the listener has an address"),
            born: unix_ms(),
            version: setup.version.to_owned(),
            zone: setup.zone.to_owned(),
            control: setup.control,
            sequence: AtomicU64::new(0),
            is_silent: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            record: record.clone(),
            streams: Mutex::default(),
            work,
        });
        let serving = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_over.load(Ordering::SeqCst) {
                    return;
                }
                serving.streams.lock().unwrap().extend(stream.try_clone());
                let instance = serving.clone();
                thread::spawn(move || instance.serve(stream));
            }
        });
        let beating = instance.clone();
        thread::spawn(move || {
            while !beating.is_over.load(Ordering::SeqCst) {
                if !beating.is_silent.load(Ordering::SeqCst) {
                    beating.beat();
                }
                thread::sleep(HEARTBEAT);
            }
        });
        instance
    }

    /// Sends a heartbeat.
    fn beat(&self) {
        post(self.control, &self.id, "heartbeat", &self.next_beat());
    }

    /// Returns the body of the next heartbeat.
    pub fn next_beat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":9,\"state\":\"ready\",\"coldRemaining\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.version, self.born
        )
    }

    /// Sends no more heartbeats.
    pub fn fall_silent(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    /// Ends the instance: its connections and its listener close.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        TcpStream::connect(self.address).ok();
    }

    /// Returns the fields that every answer to `request` has.
    pub fn fields(&self, request: &Message) -> String {
        let id = request.field("cicadagw-attempt-id").unwrap_or("-");
        format!(
            "Cicadagw-Attempt-Id: {id}\r\nCicadagw-Response-Seal: seal-{id}\r\nCicadagw-Server-Load: 1,0,9\r\n"
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.request() {
            if request.is_cut {
                return;
            }
            let id = request
                .field("cicadagw-attempt-id")
                .unwrap_or("-")
                .to_owned();
            let target = request.field("cicadagw-target-instance");
            if target.is_some_and(|target| target != self.id) {
                let refusal = format!(
                    "HTTP/1.1 421 -\r\nCicadagw-Attempt-Id: {id}\r\nCicadagw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if connection.write(refusal.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.record.ran(&id, &self.service, &self.id);
            if !(self.work)(self, &request, &mut connection) {
                return;
            }
        }
    }
}

/// Sends what an instance says of itself to a node; returns the status of the answer.
pub fn post(control: SocketAddr, id: &str, operation: &str, body: &str) -> Option<u16> {
    let request = format!(
        "POST /cicadagw/instances/{id}/{operation} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    call(control, request.as_bytes(), ACKNOWLEDGED).map(|answer| answer.status())
}

/// Work that answers after `time` with the name of the service.
pub fn steady(time: Duration) -> Work {
    Box::new(move |instance, request, connection| {
        thread::sleep(time);
        let fields = instance.fields(request);
        let body = format!("{} {}", instance.service, request.start[1]);
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.write(answer.as_bytes()).is_ok()
    })
}
