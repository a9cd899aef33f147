//! Answers that an upstream sends byte for byte as a test gives them.

use std::{
    collections::VecDeque,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{io::AsyncWriteExt, net::TcpStream};

use super::{fault::Fault, http1::Request};

/// Text in a raw answer that stands for the id of the request.
pub const REQUEST_ID: &str = "{request-id}";

/// Time in which a caller reads what was sent before a reset, which discards unread bytes.
const READ_TIME: Duration = Duration::from_millis(30);

/// Faults that several upstreams share: the next request, at whichever of them, takes the next one.
pub type SharedFaults = Arc<Mutex<VecDeque<Fault>>>;

/// What happens to the connection after a raw answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RawEnd {
    /// It stays open.
    Open,
    /// It is closed in an orderly way.
    Closed,
    /// It is reset.
    Reset,
}

/// Bytes sent as an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawAnswer {
    /// The bytes, in which [`REQUEST_ID`] is replaced.
    pub text: String,
    /// The end of the connection.
    pub end: RawEnd,
}

impl RawAnswer {
    // Returns whether the connection stays open.
    pub(super) async fn send(&self, socket: &mut TcpStream, request: &Request) -> io::Result<bool> {
        let text = self.text.replace(REQUEST_ID, request.header("request-id"));
        socket.write_all(text.as_bytes()).await?;
        if self.end == RawEnd::Reset {
            tokio::time::sleep(READ_TIME).await;
            socket.set_zero_linger()?;
        }
        Ok(self.end == RawEnd::Open)
    }
}
