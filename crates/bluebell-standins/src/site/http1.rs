//! A minimal HTTP/1.1 server side on raw sockets. HTTP libraries refuse to send malformed answers; the stand-ins
//! have to.

use std::io;

use indexmap::IndexMap;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Maximum number of headers in a request; more are an error.
const MAX_HEADERS: usize = 64;

/// A received request.
#[derive(Debug, Clone)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Headers by lower-case name.
    pub headers: IndexMap<String, String>,
    /// Request body.
    pub body: Vec<u8>,
}

impl Request {
    /// A header's value, or an empty string if the header is absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Whether the body contains `text`.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        String::from_utf8_lossy(&self.body).contains(text)
    }

    /// A decoded query parameter, or an empty string if it is absent.
    #[must_use]
    pub fn param(&self, name: &str) -> String {
        let url = reqwest::Url::parse(&format!("http://site{}", self.target));
        let value = url
            .ok()
            .and_then(|url| url.query_pairs().find(|(key, _)| key == name).map(|(_, value)| value.into_owned()));
        value.unwrap_or_default()
    }
}

/// Reads one request. Returns `None` if the connection is closed before a complete request head arrives.
///
/// # Errors
/// If the connection breaks, closes within a body, or carries a malformed request.
pub async fn read(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        if let Some((mut request, head_len, body_len)) = parse_head(buffer)? {
            while buffer.len() < head_len + body_len {
                if socket.read_buf(buffer).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            request.body = buffer[head_len..head_len + body_len].to_vec();
            buffer.drain(..head_len + body_len);
            return Ok(Some(request));
        }
        if socket.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

// Parses a request head; returns the request without its body, the head's length and the body's length.
fn parse_head(buffer: &[u8]) -> io::Result<Option<(Request, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(buffer).map_err(io::Error::other)?;
    let httparse::Status::Complete(head_len) = status else { return Ok(None) };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let headers: IndexMap<String, String> =
        parsed.headers.iter().map(|header| (header.name.to_lowercase(), text(header.value))).collect();
    let body_len = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    Ok(Some((request, head_len, body_len)))
}

/// Writes a complete JSON response.
///
/// # Errors
/// If the connection breaks.
pub async fn write_json(socket: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    write(socket, status, &[("content-type", "application/json")], body.as_bytes()).await
}

/// Writes a complete response with a `content-length` header.
///
/// # Errors
/// If the connection breaks.
pub async fn write(socket: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let bytes = [head.as_bytes(), body].concat();
    socket.write_all(&bytes).await
}
