//! A shell that runs `cicadactl` against a test server, and records commands and output as a
//! session.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;

use actix_web::rt::System;
use actix_web::{App, HttpResponse, HttpServer, web};
use bytes::Bytes;
use cicadagw_dev::platform::{Handle, serve};
use cicadagw_platform::http::Client;
use cicadagw_platform::{Condition, Key, Store};
use serde_json::Value;

/// The file with the configuration that most tests begin with.
pub(crate) const INITIAL_CONFIG: &str = "tests/files/shop.jsonc";

/// The file with the same configuration, but with another timeout, another secret and a new route.
pub(crate) const CHANGED_CONFIG: &str = "tests/files/store.jsonc";

/// A file with a configuration that has findings.
pub(crate) const FAULTY: &str = "tests/files/faulty.jsonc";

/// A file that is not valid JSON with comments.
pub(crate) const BROKEN: &str = "tests/files/broken.jsonc";

/// Runs commands and records their output and exit codes.
pub(crate) struct Shell {
    pub(crate) platform: Handle,
    session: String,
}

impl Shell {
    /// Creates a shell with an empty platform.
    pub(crate) fn new() -> Self {
        Self {
            platform: platform(),
            session: String::new(),
        }
    }

    /// Creates a shell in which [`INITIAL_CONFIG`] is active.
    pub(crate) fn with_initial_config() -> Self {
        let mut shell = Self::new();
        shell.run("--operator asha apply tests/files/shop.jsonc --change one");
        shell.session.clear();
        shell
    }

    /// Writes an object to the platform.
    pub(crate) fn put(&self, key: &str, value: &Value) {
        let key = Key::from_wire(key);
        let value = Bytes::from(value.to_string());
        System::new().block_on(async {
            let client = Client::builder()
                .addresses(&[self.platform.address])
                .build();
            client.put(&key, value, Condition::Always).await.unwrap();
        });
    }

    /// Runs a command with the address of the platform.
    pub(crate) fn run(&mut self, line: &str) {
        let address = self.platform.address.to_string();
        self.run_with(&["--platform", &address], line, &address);
    }

    /// Runs a command with the arguments `first` in front; records `address` as `ADDRESS`.
    pub(crate) fn run_with(&mut self, first: &[&str], line: &str, address: &str) {
        let output = Command::new(env!("CARGO_BIN_EXE_cicadactl"))
            .current_dir(root())
            .args(first)
            .args(line.split_whitespace())
            .output()
            .unwrap();
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        let record = format!(
            "$ cicadactl {line}\n{}{}[{}]\n",
            text(output.stdout),
            text(output.stderr),
            output.status.code().unwrap(),
        );
        self.session.push_str(&record.replace(address, "ADDRESS"));
    }

    /// Runs commands concurrently with the address of the platform, and returns their exit codes.
    pub(crate) fn run_at_once(&self, lines: &[String]) -> Vec<i32> {
        let address = self.platform.address.to_string();
        let children: Vec<Child> = lines
            .iter()
            .map(|line| {
                Command::new(env!("CARGO_BIN_EXE_cicadactl"))
                    .current_dir(root())
                    .args(["--platform", &address])
                    .args(line.split_whitespace())
                    .stdout(Stdio::null())
                    .stderr(Stdio::null())
                    .spawn()
                    .unwrap()
            })
            .collect();
        let codes = children
            .into_iter()
            .map(|mut child| child.wait().unwrap().code().unwrap());
        codes.collect()
    }

    /// Returns the recorded session.
    pub(crate) fn session(self) -> String {
        self.session
    }
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Starts a test server in place of the platform, on a thread of its own.
fn platform() -> Handle {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        System::new().block_on(async move {
            let (server, handle) = serve(listener()).unwrap();
            sender.send(handle).unwrap();
            server.await.unwrap();
        });
    });
    receiver.recv().unwrap()
}

/// Starts an admin server that serves `dump`, on a thread of its own; returns its address.
pub(crate) fn serve_dump(dump: &'static str) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        System::new().block_on(async move {
            let page = move || async move {
                HttpResponse::Ok()
                    .content_type("application/json")
                    .body(dump)
            };
            let app = move || App::new().route("/dump", web::get().to(page));
            let server = HttpServer::new(app).workers(1).listen(listener).unwrap();
            server.run().await.unwrap();
        });
    });
    address
}

/// Returns an address at which nothing listens: the system never assigns port 1. A port that was
/// just closed would not do, since a process that another test is starting may still hold it.
pub(crate) fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 99, 2], 1))
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}
