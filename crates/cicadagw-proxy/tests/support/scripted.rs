//! A backend server that responds according to a function.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::backend::{Received, read};

/// Returns the raw response to a request, or `None` to send no response.
pub type Script = fn(&Received) -> Option<String>;

/// A backend server that responds according to a [`Script`].
pub struct Scripted {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl Scripted {
    pub async fn start(script: Script) -> Self {
        Self::start_slow(script, Duration::ZERO).await
    }

    /// Starts a server that takes `work` for each response.
    pub async fn start_slow(script: Script, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::<Mutex<Vec<Received>>>::default();
        let all = received.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, script, work, all.clone()));
            }
        });
        Self { address, received }
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }
}

async fn serve(stream: TcpStream, script: Script, work: Duration, all: Arc<Mutex<Vec<Received>>>) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read(&mut stream).await {
        let response = script(&request);
        all.lock().unwrap().push(request);
        let Some(response) = response else {
            std::future::pending::<()>().await;
            return;
        };
        tokio::time::sleep(work).await;
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Builds a response with the header lines `head` after the status line.
pub fn response(status: &str, head: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{head}content-length: {length}\r\n\r\n{body}")
}

/// Builds a success response that meets the requirements of the test dialect.
#[expect(clippy::unnecessary_wraps, reason = "it has the type of a script")]
pub fn sealed(request: &Received) -> Option<String> {
    let id = &request.headers["t-id"];
    Some(response(
        "200 OK",
        &format!("t-id: {id}\r\nt-seal: s\r\n"),
        "own",
    ))
}
