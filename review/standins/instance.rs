//! A stand-in for an application instance: it answers requests and sends heartbeats to its node.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{End, Head, Reader, exchange};
use crate::record::Record;

pub const SLOTS: u32 = 9;

/// The pause between two heartbeats, as the settings of the deployments state it.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How long the instance waits for the acknowledgement of a heartbeat.
const ACKNOWLEDGEMENT: Duration = Duration::from_secs(1);

/// The length of a body, in bytes, from which on the instance works before it reads the body.
const LONG_BODY: u64 = 64 << 10;

/// What the instance answers to a request that it has run.
pub enum Answer {
    /// A whole body of this many bytes.
    Whole(usize),
    /// A head that states a length, and bytes that do not end until the caller closes.
    Endless,
}

/// Decides how the instance answers a request that it runs, and after which work.
pub type Behaviour = Box<dyn Fn(&Run) -> (Duration, Answer) + Send + Sync>;

/// A request that the instance began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// Path and query.
    pub target: String,
    /// How many requests the instance has run, this one included.
    pub number: usize,
    /// When it began to run.
    pub at: Duration,
}

pub struct Instance {
    pub id: String,
    pub service: String,
    zone: String,
    pub address: SocketAddr,
    control: SocketAddr,
    born: u128,
    sequence: AtomicU64,
    is_silent: AtomicBool,
    has_exited: AtomicBool,
    running: AtomicU32,
    behaviour: Behaviour,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Instance {
    /// Starts an instance whose node takes its heartbeats at `control`.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        control: SocketAddr,
        record: &Record,
        behaviour: Behaviour,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let instance = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            control,
            born: since.map_or(0, |since| since.as_millis()),
            sequence: AtomicU64::new(0),
            is_silent: AtomicBool::new(false),
            has_exited: AtomicBool::new(false),
            running: AtomicU32::new(0),
            behaviour,
            runs: Mutex::default(),
            record: record.clone(),
        });
        let server = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let sender = instance.clone();
        thread::spawn(move || {
            while !sender.is_silent.load(Ordering::SeqCst) {
                sender.send_heartbeat();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(instance)
    }

    /// The requests that the instance began to run, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Sends one heartbeat now; returns whether it was acknowledged.
    pub fn send_heartbeat(&self) -> bool {
        let (sequence, message) = self.heartbeat();
        self.deliver(&format!("heartbeat {sequence}"), &message)
    }

    /// Sends one heartbeat that stays on its way for `delay`. The instance does not wait for its
    /// acknowledgement longer than for that of any other.
    pub fn send_late_heartbeat(self: &Arc<Self>, delay: Duration) {
        let (sequence, message) = self.heartbeat();
        self.record.add(format!(
            "INSTANCE {} sends heartbeat {sequence} (ready), which stays on its way for {delay:?}",
            self.id
        ));
        let sender = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            sender.deliver(&format!("the late heartbeat {sequence}"), &message);
        });
    }

    /// Deregisters first and goes on serving, as some instances do; returns when its node
    /// acknowledged that.
    pub fn deregister(&self) -> Option<Duration> {
        self.is_silent.store(true, Ordering::SeqCst);
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!("{{\"born\":{},\"sequence\":{sequence}}}", self.born);
        let message = self.message("deregister", &body);
        let is_acknowledged = self.deliver("deregister", &message);
        is_acknowledged.then(|| self.record.now())
    }

    /// Ends the instance: it accepts no further connection and answers no further request.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        self.is_silent.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, so that it closes the listener.
        TcpStream::connect(self.address).ok();
        self.record.add(format!("INSTANCE {} exits", self.id));
    }

    fn heartbeat(&self) -> (u64, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldRemaining\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        (sequence, self.message("heartbeat", &body))
    }

    fn message(&self, operation: &str, body: &str) -> String {
        format!(
            "POST /cicadagw/instances/{}/{operation} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }

    fn deliver(&self, what: &str, message: &str) -> bool {
        let end = exchange(self.control, message.as_bytes(), ACKNOWLEDGEMENT);
        let is_acknowledged = end
            .status()
            .is_some_and(|status| (200..300).contains(&status));
        let answer = match &end {
            End::Answered(head) => head.start.clone(),
            End::Failed(why) => why.clone(),
        };
        self.record
            .add(format!("INSTANCE {}: {what} -> {answer}", self.id));
        is_acknowledged
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            if self.has_exited.load(Ordering::SeqCst) {
                return;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let written = self.answer(&head, &mut reader, &mut writer);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if written.is_err() {
                return;
            }
        }
    }

    /// Reads the rest of a request and answers it; works first if its body is long.
    fn answer(&self, head: &Head, reader: &mut Reader, writer: &mut TcpStream) -> io::Result<()> {
        let id = head
            .get("Cicadagw-Attempt-Id")
            .unwrap_or_default()
            .to_owned();
        let target = head.get("Cicadagw-Target-Instance");
        if target.is_some_and(|target| target != self.id) {
            reader.body(head)?;
            let response = format!(
                "HTTP/1.1 421 Misdirected Request\r\nCicadagw-Instance-Id: {}\r\nCicadagw-Attempt-Id: {id}\r\nCicadagw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(response.as_bytes());
        }
        let run = {
            let mut runs = self.runs.lock().unwrap();
            let run = Run {
                id: id.clone(),
                target: head.start.split(' ').nth(1).unwrap_or_default().to_owned(),
                number: runs.len() + 1,
                at: self.record.add(format!("INSTANCE {} runs {id}", self.id)),
            };
            runs.push(run.clone());
            run
        };
        let (work, answer) = (self.behaviour)(&run);
        let is_long = head.number("content-length") > Some(LONG_BODY);
        if !is_long {
            reader.body(head)?;
        }
        thread::sleep(work);
        if is_long {
            let body = reader.body(head);
            if let Err(error) = &body {
                self.record.add(format!(
                    "INSTANCE {} was at work on {id} and reads on: {error}",
                    self.id
                ));
            }
            body?;
        }
        let length = match answer {
            Answer::Whole(length) => length as u64,
            Answer::Endless => 1 << 40,
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nCicadagw-Attempt-Id: {id}\r\nCicadagw-Response-Seal: seal.{}.{id}\r\nCicadagw-Server-Load: {},0,{SLOTS}\r\nKeep-Alive: timeout=10\r\nContent-Length: {length}\r\n\r\n",
            self.id,
            self.running.load(Ordering::SeqCst)
        );
        writer.write_all(response.as_bytes())?;
        match answer {
            Answer::Whole(length) => writer.write_all(&vec![b'x'; length])?,
            Answer::Endless => {
                self.record.add(format!(
                    "INSTANCE {} answers {id} with bytes without end",
                    self.id
                ));
                while writer.write_all(&[b'?'; 1_024]).is_ok() {
                    thread::sleep(Duration::from_millis(20));
                }
                self.record.add(format!(
                    "INSTANCE {}: the caller of {id} has closed",
                    self.id
                ));
                return Err(io::ErrorKind::BrokenPipe.into());
            }
        }
        self.record
            .add(format!("INSTANCE {} has answered {id}", self.id));
        Ok(())
    }
}
