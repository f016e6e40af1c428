//! HTTP/1.1 on blocking sockets: as much as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }


    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads the next message. `None` means that the peer closed the connection before one began.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(cut()) };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        });
        let mut message = Message { first_line, headers: headers.collect(), body: Vec::new() };
        let is_chunked = message.header("transfer-encoding").is_some();
        if is_chunked {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(|_| cut())?;
                let data = self.exactly(size)?;
                message.body.extend(data);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| cut())?;
            message.body = self.exactly(length)?;
        }
        Ok(Some(message))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1_024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(cut());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if !self.fill()? {
                return Err(cut());
            }
        }
    }
}

fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended inside a message")
}

/// Encodes a message with the length of its body.
pub fn encode(first_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A connection of a client.
pub struct Client {
    stream: TcpStream,
    reader: Reader,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: Reader::new(stream.try_clone()?), stream })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn read(&mut self) -> io::Result<Message> {
        self.reader.read()?.ok_or_else(cut)
    }
}

/// Sends one request on a new connection.
pub fn call(
    address: SocketAddr,
    first_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut client = Client::connect(address, timeout)?;
    client.send(&encode(first_line, headers, body))?;
    client.read()
}
