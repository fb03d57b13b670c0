//! HTTP/1.1 messages on plain sockets, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The start line and the header fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    /// The status code of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.get("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Receives more bytes; false at the end of the connection.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length > 0)
    }

    /// Removes a complete head from the buffer, if there is one.
    pub fn buffered_head(&mut self) -> Option<Head> {
        let end = self
            .buffer
            .windows(4)
            .position(|four| four == b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let fields = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Some(Head { start, fields })
    }

    /// Reads the next head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(head) = self.buffered_head() {
                return Ok(Some(head));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the whole body that follows `head`; a body that ends early is an error.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let chunked = head
            .get("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if !chunked {
            let length = head.number("content-length").unwrap_or(0);
            return self.take(usize::try_from(length).unwrap_or(usize::MAX));
        }
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or_default().trim().to_owned();
            let size = usize::from_str_radix(&size, 16)
                .map_err(|error| io::Error::other(error.to_string()))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.take(2)?;
        }
    }
}

/// The end of an exchange, as a client sees it.
#[derive(Clone, Debug)]
pub enum End {
    /// A complete response.
    Answered(Head),
    /// No complete response; why.
    Failed(String),
}

impl End {
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Answered(head) => Some(head.status()),
            Self::Failed(_) => None,
        }
    }
}

/// Opens a connection whose reads fail after `patience` without a byte.
pub fn open(address: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    Ok(stream)
}

/// Sends `message` on a connection of its own and reads the response.
pub fn exchange(address: SocketAddr, message: &[u8], patience: Duration) -> End {
    let run = || -> io::Result<End> {
        let mut stream = open(address, patience)?;
        stream.write_all(message)?;
        let mut reader = Reader::new(stream);
        loop {
            let Some(head) = reader.head()? else {
                return Ok(End::Failed("closed without a response".to_owned()));
            };
            if head.status() < 200 {
                continue;
            }
            reader.body(&head)?;
            return Ok(End::Answered(head));
        }
    };
    run().unwrap_or_else(|error| End::Failed(error.to_string()))
}
