//! A node: the project's program in a process of its own, with the settings of a small deployment.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;

/// How a node is started.
pub struct Setup<'s> {
    pub name: &'s str,
    pub region: &'s str,
    pub zone: &'s str,
    pub service: &'s str,
    /// The last part of the loopback address of the node's host.
    pub host: u8,
    pub store: SocketAddr,
    /// Further settings under `peering`, each with a comma after it.
    pub peering: &'s str,
    pub memory_mb: u32,
}

/// A node and its process.
pub struct Node {
    pub name: String,
    pub service: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub app: SocketAddr,
    settings: String,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
    /// Whether the reader of the standard output has stopped reading.
    pub is_unread: Arc<AtomicBool>,
}

impl Node {
    pub fn new(setup: &Setup<'_>, folder: &Path) -> Self {
        let ip = format!("127.77.0.{}", setup.host);
        let bind = |ip: &str| TcpListener::bind((ip, 0)).expect("a loopback port is free");
        // All listeners stay open until every port is chosen, so that the ports differ.
        let open: Vec<TcpListener> = (0..7).map(|_| bind(&ip)).collect();
        let admin = bind("127.0.0.1");
        let address = |listener: &TcpListener| listener.local_addr().expect("it is bound");
        let [outbound, control, ready, inbound, link, metrics, app] =
            std::array::from_fn(|index| address(&open[index]));
        let settings = format!(
            r#"{{
  "node": "{name}",
  "region": "{region}",
  "domain": "{zone}",
  "rack": "{zone}",
  "calls": "{outbound}",
  "link": "{link}",
  "announce": "{control}",
  "admin": "{admin}",
  "platform": ["{store}"],
  "budget": {{ "descriptors": 4100, "memory_mb": {memory} }},
  "peering": {{
    "dialect": "crockworks",
    "first_start": FIRST_START,
    "link_rate": "1000.0Mbit/s",
    "metrics": "{metrics}",
    "nodes": "{inbound}",
    "ready": "{ready}",
    "retry_slack": 56,
    {peering}
    "service": "{service}"
  }},
  "timing": {{ "drain": "6s", "renewal": "60000ms" }}
}}
"#,
            name = setup.name,
            region = setup.region,
            zone = setup.zone,
            admin = address(&admin),
            store = setup.store,
            memory = setup.memory_mb,
            peering = setup.peering,
            service = setup.service,
        );
        Self {
            name: setup.name.to_owned(),
            service: setup.service.to_owned(),
            outbound,
            control,
            ready,
            app,
            settings,
            folder: folder.to_owned(),
            child: None,
            starts: 0,
            is_unread: Arc::default(),
        }
    }

    /// Starts the process with the command of the deploy file, and a settings file of its own. Its
    /// standard output is a pipe, which a thread copies into a file.
    pub fn start(&mut self) {
        let file = self.folder.join(format!("{}.jsonc", self.name));
        let first_start = if self.starts == 0 { "true" } else { "false" };
        fs::write(&file, self.settings.replace("FIRST_START", first_start))
            .expect("the temporary folder is writable");
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        self.starts += 1;
        let log = File::create(log).expect("the temporary folder is writable");
        let errors = log.try_clone().expect("a file can be opened twice");
        let mut child = Command::new("target/release/cicadagw")
            .arg("run")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .expect("target/release/cicadagw was built");
        let output = child.stdout.take().expect("the output is a pipe");
        let is_unread = self.is_unread.clone();
        thread::spawn(move || collect(output, log, &is_unread));
        self.child = Some(child);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /cicadagw/ready HTTP/1.1\r\nHost: node\r\n\r\n";
        let answer = call(self.ready, request, Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the node is ready; returns whether it is in time.
    pub fn wait_until_ready(&self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Copies the output of a process into a file, and pauses while `is_unread`.
fn collect(mut output: ChildStdout, mut log: File, is_unread: &AtomicBool) {
    let mut part = [0; 16 << 10];
    loop {
        while is_unread.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(50));
        }
        match output.read(&mut part) {
            Ok(count) if count > 0 => log.write_all(&part[..count]).unwrap_or_default(),
            _ => return,
        }
    }
}
