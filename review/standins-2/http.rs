//! HTTP/1.1 over blocking sockets, for servers and clients of a test.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: the words of its first line, its fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: Vec<String>,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body, or the whole message, ended before it was complete.
    pub is_cut: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start
            .get(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with what was received and not yet read.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let start = lines.next().unwrap_or_default();
                let fields = lines.filter_map(|line| line.split_once(':'));
                return Ok(Some(Message {
                    start: start.splitn(3, ' ').map(str::to_owned).collect(),
                    fields: fields
                        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                        .collect(),
                    ..Message::default()
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        if !self.body(&mut message)? {
            message.is_cut = true;
        }
        Ok(Some(message))
    }

    /// Reads a response, after interim ones; `None` if the connection ends before its head.
    pub fn response(&mut self) -> io::Result<Option<Message>> {
        loop {
            let Some(mut message) = self.head()? else {
                return Ok(None);
            };
            if (100..200).contains(&message.status()) {
                continue;
            }
            match self.body(&mut message) {
                Ok(is_whole) => message.is_cut = !is_whole,
                Err(_) => message.is_cut = true,
            }
            return Ok(Some(message));
        }
    }

    fn body(&mut self, message: &mut Message) -> io::Result<bool> {
        if let Some(length) = message
            .field("content-length")
            .and_then(|text| text.parse().ok())
        {
            return Ok(self
                .exact(length)?
                .map(|body| message.body = body)
                .is_some());
        }
        if message.field("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line()? else {
                    return Ok(false);
                };
                let size = line.split(';').next().unwrap_or_default();
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                    return Ok(false);
                };
                let Some(data) = self.exact(size + 2)? else {
                    return Ok(false);
                };
                if size == 0 {
                    return Ok(true);
                }
                message.body.extend_from_slice(&data[..size]);
            }
        }
        Ok(true)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Returns a response with a JSON body.
pub fn json_response(status: u16, era: Option<u64>, body: &str) -> Vec<u8> {
    let era = era.map_or_else(String::new, |era| format!("Store-Era: {era}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 {status} -\r\n{era}Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Sends a request on a new connection and returns its response; `None` without one in time.
pub fn call(address: SocketAddr, request: &[u8], wait: Duration) -> Option<Message> {
    let mut connection = Connection::open(address).ok()?;
    connection.stream.set_read_timeout(Some(wait)).ok()?;
    connection.write(request).ok()?;
    connection.response().ok()?
}
