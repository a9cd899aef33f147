//! Requests of HTTP/1.1 as bytes, so that a stand-in can answer with bytes that no library would send.

use std::io;

use indexmap::IndexMap;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Headers that a request may have.
const MAX_HEADERS: usize = 64;

/// A request as it came.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path with the query.
    pub target: String,
    /// Headers, their names in lower case.
    pub headers: IndexMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// A header's value, empty where there is none.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Whether the body contains a text.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        String::from_utf8_lossy(&self.body).contains(text)
    }

    /// A parameter of the query, decoded; empty where there is none.
    #[must_use]
    pub fn param(&self, name: &str) -> String {
        let url = reqwest::Url::parse(&format!("http://site{}", self.target));
        let found = url
            .ok()
            .and_then(|url| url.query_pairs().find(|(key, _)| key == name).map(|(_, value)| value.into_owned()));
        found.unwrap_or_default()
    }
}

/// Reads one request; none when the connection ended before one.
///
/// # Errors
/// When the connection broke or sent what is no request.
pub async fn read(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        if let Some((mut request, head, length)) = parse(buffer)? {
            while buffer.len() < head + length {
                if socket.read_buf(buffer).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            request.body = buffer[head..head + length].to_vec();
            buffer.drain(..head + length);
            return Ok(Some(request));
        }
        if socket.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn parse(buffer: &[u8]) -> io::Result<Option<(Request, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(buffer).map_err(io::Error::other)?;
    let httparse::Status::Complete(head) = status else { return Ok(None) };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let headers: IndexMap<String, String> =
        parsed.headers.iter().map(|header| (header.name.to_lowercase(), text(header.value))).collect();
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    Ok(Some((request, head, length)))
}

/// Writes a whole answer of JSON.
///
/// # Errors
/// When the connection broke.
pub async fn write_json(socket: &mut TcpStream, status: u16, body: &serde_json::Value) -> io::Result<()> {
    write(socket, status, &[("content-type", "application/json")], body.to_string().as_bytes()).await
}

/// Writes a whole answer.
///
/// # Errors
/// When the connection broke.
pub async fn write(socket: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let bytes = [head.as_bytes(), body].concat();
    socket.write_all(&bytes).await
}
