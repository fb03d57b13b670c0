//! A backend server that counts how often each request is executed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

/// How a backend server handles requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    /// Responds with the request's body.
    Echo,
    /// Responds with the request's body once released.
    Hold,
    /// Responds to the first request, and closes the connection after it has read the second one.
    CloseSecond,
    /// Reads the request and closes the connection without a response.
    Close,
    /// Sends less than the declared `content-length`, and closes the connection once released.
    TruncatedLength,
    /// Sends a chunk, and closes the connection without the last chunk once released.
    TruncatedChunked,
    /// Responds without `content-length` and closes the connection.
    NoLength,
    /// Responds without `content-length` and resets the connection.
    NoLengthReset,
    /// Responds with a chunked body.
    Chunked,
    /// Responds with an endless chunked body.
    Endless,
}

/// A request as received by the backend server.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

pub struct Backend {
    pub address: SocketAddr,
    executions: Arc<Mutex<HashMap<String, usize>>>,
    releases: Arc<Semaphore>,
    received: mpsc::UnboundedReceiver<Received>,
    closed: mpsc::UnboundedReceiver<()>,
}

#[derive(Clone)]
struct Server {
    behavior: Behavior,
    executions: Arc<Mutex<HashMap<String, usize>>>,
    releases: Arc<Semaphore>,
    received: mpsc::UnboundedSender<Received>,
    closed: mpsc::UnboundedSender<()>,
}

impl Backend {
    pub async fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = mpsc::unbounded_channel();
        let (on_close, closed) = mpsc::unbounded_channel();
        let server = Server {
            behavior,
            executions: Arc::default(),
            releases: Arc::new(Semaphore::new(0)),
            received: sender,
            closed: on_close,
        };
        let backend = Self {
            address,
            executions: server.executions.clone(),
            releases: server.releases.clone(),
            received,
            closed,
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        backend
    }

    /// Returns how often the request `id` was executed.
    pub fn executions(&self, id: &str) -> usize {
        self.executions
            .lock()
            .unwrap()
            .get(id)
            .copied()
            .unwrap_or(0)
    }

    /// Waits for the next request.
    pub async fn received(&mut self) -> Received {
        self.received.recv().await.unwrap()
    }

    /// Waits until the peer closes the connection of a held or endless response.
    pub async fn closed(&mut self) {
        self.closed.recv().await.unwrap();
    }

    /// Releases one held request.
    pub fn release_one(&self) {
        self.releases.add_permits(1);
    }
}

impl Server {
    async fn serve(self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let mut count = 0;
        while let Some(request) = read(&mut stream).await {
            count += 1;
            let id = request.headers.get("x-id").cloned().unwrap_or_default();
            *self.executions.lock().unwrap().entry(id).or_default() += 1;
            let body = request.body.clone();
            self.received.send(request).unwrap();
            if self.behavior == Behavior::Endless {
                return self.stream_endlessly(&mut stream).await;
            }
            let Some(response) = self.response(&mut stream, count, body).await else {
                return;
            };
            if stream.write_all(&response).await.is_err() || !self.keeps_open() {
                return self.wait_to_close(&stream).await;
            }
        }
    }

    async fn stream_endlessly(&self, stream: &mut BufReader<TcpStream>) {
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
        let mut written = stream.write_all(head).await;
        while written.is_ok() {
            written = stream.write_all(chunk.as_bytes()).await;
        }
        self.closed.send(()).unwrap();
    }

    async fn wait_to_close(&self, stream: &BufReader<TcpStream>) {
        if self.behavior == Behavior::NoLengthReset {
            let socket = socket2::SockRef::from(stream.get_ref());
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        if matches!(
            self.behavior,
            Behavior::TruncatedLength | Behavior::TruncatedChunked
        ) {
            self.releases.acquire().await.unwrap().forget();
        }
    }

    fn keeps_open(&self) -> bool {
        matches!(
            self.behavior,
            Behavior::Echo | Behavior::Hold | Behavior::Chunked | Behavior::CloseSecond
        )
    }

    async fn response(
        &self,
        stream: &mut BufReader<TcpStream>,
        count: usize,
        body: Vec<u8>,
    ) -> Option<Vec<u8>> {
        match self.behavior {
            Behavior::Close => return None,
            Behavior::CloseSecond if count > 1 => return None,
            Behavior::Hold => {
                tokio::select! {
                    permit = self.releases.acquire() => permit.unwrap().forget(),
                    _ = stream.fill_buf() => {
                        self.closed.send(()).unwrap();
                        return None;
                    }
                }
            }
            _ => {}
        }
        let head = match self.behavior {
            Behavior::TruncatedLength => format!("content-length: {}\r\n", body.len() + 10),
            Behavior::TruncatedChunked | Behavior::Chunked => {
                "transfer-encoding: chunked\r\n".to_owned()
            }
            Behavior::NoLength | Behavior::NoLengthReset => String::new(),
            _ => format!("content-length: {}\r\n", body.len()),
        };
        let mut response = format!("HTTP/1.1 200 OK\r\n{head}\r\n").into_bytes();
        match self.behavior {
            Behavior::TruncatedChunked | Behavior::Chunked => {
                response.extend(format!("{:x}\r\n", body.len()).into_bytes());
                response.extend(body);
                response.extend(b"\r\n");
                if self.behavior == Behavior::Chunked {
                    response.extend(b"0\r\n\r\n");
                }
            }
            _ => response.extend(body),
        }
        Some(response)
    }
}

/// Reads a request with its body; returns `None` at the end of the connection.
pub async fn read(stream: &mut BufReader<TcpStream>) -> Option<Received> {
    let mut request = Received::default();
    let line = line(stream).await?;
    let mut words = line.split(' ');
    request.method = words.next()?.to_owned();
    request.path = words.next()?.to_owned();
    request.headers = headers(stream).await?;
    request.body = body(stream, &request.headers).await?;
    Some(request)
}

pub async fn line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let count = stream.read_line(&mut line).await.ok()?;
    (count > 0).then(|| line.trim_end().to_owned())
}

pub async fn headers(stream: &mut BufReader<TcpStream>) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = line(stream).await?;
        let Some((name, value)) = line.split_once(": ") else {
            return Some(headers);
        };
        headers.insert(name.to_ascii_lowercase(), value.to_owned());
    }
}

/// Reads a body; returns `None` if it is truncated.
pub async fn body(
    stream: &mut BufReader<TcpStream>,
    headers: &HashMap<String, String>,
) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = headers.get("content-length") {
        body.resize(length.parse().unwrap(), 0);
        stream.read_exact(&mut body).await.ok()?;
    } else if headers.contains_key("transfer-encoding") {
        loop {
            let size = usize::from_str_radix(&line(stream).await?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk).await.ok()?;
            body.extend(&chunk[..size]);
            if size == 0 {
                return Some(body);
            }
        }
    }
    Some(body)
}
