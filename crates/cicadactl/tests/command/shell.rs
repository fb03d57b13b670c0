//! A shell that runs the command line against a stand-in, and writes down what is seen.

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

/// The configuration that most sessions begin with.
pub(crate) const SHOP: &str = "tests/files/shop.jsonc";

/// The same with another timeout and a new route.
pub(crate) const STORE: &str = "tests/files/store.jsonc";

/// One with faults.
pub(crate) const FAULTY: &str = "tests/files/faulty.jsonc";

/// One that is no JSON with comments.
pub(crate) const BROKEN: &str = "tests/files/broken.jsonc";

/// Runs commands and writes down what they print.
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

    /// Creates a shell with the first configuration in force.
    pub(crate) fn with_shop() -> Self {
        let mut shell = Self::new();
        shell.run("--operator asha apply tests/files/shop.jsonc --change one");
        shell.session.clear();
        shell
    }

    /// Puts an object onto the platform.
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

    /// Runs a command on the platform.
    pub(crate) fn run(&mut self, line: &str) {
        let address = self.platform.address.to_string();
        self.run_with(&["--platform", &address], line, &address);
    }

    /// Runs a command as it stands; `address` is written down by a name.
    pub(crate) fn run_with(&mut self, first: &[&str], line: &str, address: &str) {
        let output = Command::new(env!("CARGO_BIN_EXE_cicadactl"))
            .current_dir(root())
            .args(first)
            .args(line.split_whitespace())
            .output()
            .unwrap();
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        let seen = format!(
            "$ cicadactl {line}\n{}{}[{}]\n",
            text(output.stdout),
            text(output.stderr),
            output.status.code().unwrap(),
        );
        self.session.push_str(&seen.replace(address, "ADDRESS"));
    }

    /// Runs commands on the platform at one moment, and returns their exit codes.
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

    /// Returns what was seen.
    pub(crate) fn session(self) -> String {
        self.session
    }
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Starts a stand-in of the platform on a thread of its own.
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

/// Starts a node's admin pages that show `dump`, on a thread of their own.
pub(crate) fn admin(dump: &'static str) -> SocketAddr {
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

/// Returns an address at which nothing listens: a system hands port 1 out to nobody. A port that was
/// open a moment ago can still be held by a process that another test is starting.
pub(crate) fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 99, 2], 1))
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}
