//! A caller that distinguishes complete from truncated responses.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::backend::{body, headers, line};

/// A response as received by the caller.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    /// `None` if the body was truncated.
    pub body: Option<Vec<u8>>,
}

impl Response {
    pub fn outcome(&self) -> &str {
        &self.headers["x-cicadagw-outcome"]
    }

    pub fn reason(&self) -> &str {
        &self.headers["x-cicadagw-reason"]
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(self.body.as_ref().unwrap()).unwrap()
    }
}

/// A call to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    head: String,
    body: Vec<u8>,
}

pub fn get(path: &str) -> Call {
    call("GET", path)
}

pub fn post(path: &str, body: &str) -> Call {
    call("POST", path)
        .header("content-length", &body.len().to_string())
        .raw_body(body.as_bytes())
}

pub fn call(method: &str, path: &str) -> Call {
    Call {
        head: format!("{method} {path} HTTP/1.1\r\nhost: shop.test\r\n"),
        body: Vec::new(),
    }
}

impl Call {
    pub fn header(mut self, name: &str, value: &str) -> Self {
        for part in [name, ": ", value, "\r\n"] {
            self.head.push_str(part);
        }
        self
    }

    pub fn id(self, id: &str) -> Self {
        self.header("x-id", id)
    }

    pub fn raw_body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// Sends the call on its own connection and returns the connection.
    pub async fn begin(self, address: SocketAddr) -> BufReader<TcpStream> {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream
            .write_all(format!("{}\r\n", self.head).as_bytes())
            .await
            .unwrap();
        stream.write_all(&self.body).await.unwrap();
        BufReader::new(stream)
    }

    /// Sends the call and waits for the response.
    pub async fn send(self, address: SocketAddr) -> Response {
        let is_head = self.head.starts_with("HEAD");
        let mut stream = self.begin(address).await;
        response(&mut stream, is_head).await
    }
}

pub async fn response(stream: &mut BufReader<TcpStream>, is_head: bool) -> Response {
    let mut response = head(stream).await;
    if !is_head {
        response.body = body(stream, &response.headers).await;
    }
    response
}

/// Receives a response head; the body of the returned response is empty.
pub async fn head(stream: &mut BufReader<TcpStream>) -> Response {
    let status = line(stream).await.expect("a response head");
    Response {
        status: status.split(' ').nth(1).unwrap().parse().unwrap(),
        headers: headers(stream).await.unwrap(),
        body: Some(Vec::new()),
    }
}
