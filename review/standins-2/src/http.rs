//! As much of HTTP/1.1 as the stand-ins need: heads, and bodies with a length or in chunks.

use std::io::{self, Read};

/// Head of a request or an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// First line.
    pub first: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length").parse().ok()
    }
}

/// Reads a head; what follows it stays in the buffer. None if the connection ends before.
pub fn read_head(socket: &mut impl Read, buffer: &mut Vec<u8>) -> io::Result<Option<Head>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n").map(str::to_owned);
            let first = lines.next().unwrap_or_default();
            let header = |line: String| {
                let (name, value) = line.split_once(':')?;
                Some((name.trim().to_lowercase(), value.trim().to_owned()))
            };
            return Ok(Some(Head { first, headers: lines.filter_map(header).collect() }));
        }
        if fill(socket, buffer)? == 0 {
            return Ok(None);
        }
    }
}

/// Reads more bytes into the buffer; zero at the end of the connection.
pub fn fill(socket: &mut impl Read, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; 16 << 10];
    let count = socket.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count)
}

/// Reads a body of a known length; none if the connection ends before.
pub fn read_length(socket: &mut impl Read, buffer: &mut Vec<u8>, length: usize) -> io::Result<Option<Vec<u8>>> {
    while buffer.len() < length {
        if fill(socket, buffer)? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(buffer.drain(..length).collect()))
}
