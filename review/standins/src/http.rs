//! A small HTTP/1.1 codec for the stand-ins: requests and responses with a length or in chunks.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Headers in the order in which they arrived, with names in lowercase.
pub type Headers = Vec<(String, String)>;

/// A request as a server reads it.
#[derive(Debug, Clone)]
pub struct Request {
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter, percent-decoded.
    pub fn param(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key == name).then(|| percent_decode(value))
        });
        found.unwrap_or_default()
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes().iter();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let high = rest.next().copied().unwrap_or(b'0') as char;
                let low = rest.next().copied().unwrap_or(b'0') as char;
                bytes.push((high.to_digit(16).unwrap_or(0) * 16 + low.to_digit(16).unwrap_or(0)) as u8);
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(*other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub fn header<'a>(headers: &'a Headers, name: &str) -> &'a str {
    headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value.as_str())
}

/// Reads a request from a connection; `None` at its end. `buffer` keeps what was read beyond the request.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(stream, buffer)? else { return Ok(None) };
    let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
    let body = read_body(stream, buffer, &headers, false)?;
    Ok(Some(Request { target, headers, body }))
}

pub fn write_response(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} x\r\n");
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<(String, Headers)>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            let head = String::from_utf8_lossy(&head).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned())).collect();
            return Ok(Some((first, headers)));
        }
        if !fill(stream, buffer)? {
            return if buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 16 << 10];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, headers: &Headers, to_end: bool) -> io::Result<Vec<u8>> {
    if header(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        let mut body = Vec::new();
        loop {
            let line = read_line(stream, buffer)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let chunk = read_exactly(stream, buffer, size)?;
            read_line(stream, buffer)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }
    match header(headers, "content-length").parse::<usize>() {
        Ok(length) => read_exactly(stream, buffer, length),
        Err(_) if to_end => {
            while fill(stream, buffer)? {}
            Ok(std::mem::take(buffer))
        }
        Err(_) => Ok(Vec::new()),
    }
}

fn read_exactly(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        if !fill(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buffer.drain(..length).collect())
}

fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
            let line: Vec<u8> = buffer.drain(..end + 2).collect();
            return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
        }
        if !fill(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// A client's request.
#[derive(Debug, Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
    /// Time over which the body is sent, in equal parts.
    pub upload: Duration,
}

impl Call {
    pub fn new(method: &'static str, path: &str, id: &str, key: &str, deadline: Duration) -> Self {
        let (path, id, key) = (path.to_owned(), id.to_owned(), key.to_owned());
        Self { method, path, id, key, deadline, body: Vec::new(), upload: Duration::ZERO }
    }
}

/// What a client sees of a request.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// A whole answer.
    Answer { status: u16, body: Vec<u8> },
    /// The connection was refused or not established within a second.
    NoConnection,
    /// The connection ended without a whole answer.
    Closed(String),
    /// No whole answer until the client's deadline.
    TimedOut,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        if let Self::Answer { status, .. } = self { *status } else { 0 }
    }

    pub fn text(&self) -> String {
        match self {
            Self::Answer { status, body, .. } => format!("{status} ({} bytes)", body.len()),
            Self::NoConnection => "no connection".to_owned(),
            Self::Closed(reason) => format!("closed without an answer: {reason}"),
            Self::TimedOut => "no answer in time".to_owned(),
        }
    }
}

pub const HOST: &str = "ficu95.example";

/// Sends a request on an open connection and waits for its answer.
pub fn exchange(stream: &mut TcpStream, call: &Call) -> Outcome {
    match try_exchange(stream, call) {
        Ok(outcome) => outcome,
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Outcome::TimedOut,
        Err(error) => Outcome::Closed(error.to_string()),
    }
}

fn try_exchange(stream: &mut TcpStream, call: &Call) -> io::Result<Outcome> {
    let began = Instant::now();
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(call.deadline))?;
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n",
        call.method,
        call.path,
        call.id,
        call.deadline.as_millis()
    );
    if !call.key.is_empty() {
        head.push_str(&format!("Authorization: Bearer {}\r\n", call.key));
    }
    if call.method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", call.body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    const PART: usize = 64 << 10;
    let parts = call.body.len().div_ceil(PART).max(1) as u32;
    for (number, part) in call.body.chunks(PART).enumerate() {
        let due = call.upload * number as u32 / parts;
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        stream.write_all(part)?;
    }
    let left = call.deadline.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut buffer = Vec::new();
    let Some((first, headers)) = read_head(stream, &mut buffer)? else {
        return Ok(Outcome::Closed("end of the connection".to_owned()));
    };
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let body = read_body(stream, &mut buffer, &headers, true)?;
    Ok(Outcome::Answer { status, body })
}

/// Opens a connection, as a client does: within a second.
pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()
}

/// Sends a request on a new connection.
pub fn ask(address: SocketAddr, call: &Call) -> Outcome {
    match connect(address) {
        Some(mut stream) => exchange(&mut stream, call),
        None => Outcome::NoConnection,
    }
}
