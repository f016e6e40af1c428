//! A small HTTP/1.1 server and client for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request or status line.
    pub start: String,
    /// Names in small letters.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|(known, _)| known == name)?;
        Some(String::from_utf8_lossy(&found.1).into_owned())
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0_u8; 65_536];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    /// Reads the head of a message. The body stays unread.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let mut lines = head.split(|byte| *byte == b'\n');
        let start = lines.next().unwrap_or_default();
        let mut message = Message {
            start: String::from_utf8_lossy(start).trim().to_owned(),
            ..Message::default()
        };
        for line in lines {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(colon) = line.iter().position(|byte| *byte == b':') else {
                continue;
            };
            let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
            let value = line[colon + 1..].trim_ascii().to_vec();
            message.headers.push((name, value));
        }
        Ok(message)
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.take(length)?;
            return Ok(());
        }
        let is_chunked = message.header("transfer-encoding").is_some();
        while is_chunked {
            let line_end = loop {
                if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                self.fill()?;
            };
            let line = self.take(line_end + 2)?;
            let text = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(text.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let chunk = self.take(size + 2)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
        Ok(())
    }

    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message)?;
        Ok(message)
    }

    /// Writes a message with its length.
    pub fn write(&mut self, start: &str, headers: &[(&str, &[u8])], body: &[u8]) -> io::Result<()> {
        self.stream.write_all(&encode(start, headers, body))
    }

    /// Sends a request and reads the final response until a deadline.
    pub fn call(
        &mut self,
        start: &str,
        headers: &[(&str, &[u8])],
        body: &[u8],
        limit: Duration,
    ) -> io::Result<Message> {
        let until = Instant::now() + limit;
        self.stream.set_write_timeout(Some(limit))?;
        self.write(start, headers, body)?;
        let left = until.saturating_duration_since(Instant::now());
        self.stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        self.read_message()
    }
}

pub fn encode(start: &str, headers: &[(&str, &[u8])], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Accepts connections and handles each in a thread of its own.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Connection) + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || handle(Connection::new(stream)));
        }
    });
    address
}
