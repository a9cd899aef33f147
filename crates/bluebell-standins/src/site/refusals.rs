//! Refusals of an upstream, and copies of them that a faulty upstream writes later on the same connection.

use std::{future, io, time::Duration};

use tokio::{net::TcpStream, time::Instant};

use super::{
    http1::{self, Request},
    upstream::RESPONSE_STAMP,
};

/// When a faulty upstream writes its refusal once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyTime {
    /// This long after the refusal, or just after the answer that is being written at that time.
    After(Duration),
    /// As soon as the next request has arrived, ahead of its answer.
    BeforeNextAnswer,
}

/// The copy to be written on a connection, if any.
#[derive(Debug, Default)]
pub struct RefusalCopy {
    id: String,
    time: Option<CopyTime>,
    due: Option<Instant>,
}

impl RefusalCopy {
    /// Refuses a request and notes when to write the refusal once more.
    ///
    /// # Errors
    /// If the connection breaks.
    pub async fn refuse(
        &mut self,
        socket: &mut TcpStream,
        id: &str,
        copy: Option<CopyTime>,
        announcement: &[(&str, &str)],
    ) -> io::Result<()> {
        write_refusal(socket, id, announcement).await?;
        self.id = id.to_owned();
        self.time = copy;
        self.due = if let Some(CopyTime::After(delay)) = copy { Some(Instant::now() + delay) } else { None };
        Ok(())
    }

    /// Reads the next request, as [`http1::read`] does, and writes the copy when it is due.
    ///
    /// # Errors
    /// As [`http1::read`].
    pub async fn read(&mut self, socket: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
        loop {
            let request = tokio::select! {
                biased;
                () = wait_until(self.due) => None,
                request = http1::read(socket, buffer) => Some(request?),
            };
            let is_due = request.is_none() || self.time == Some(CopyTime::BeforeNextAnswer);
            if is_due && self.time.take().is_some() {
                self.due = None;
                write_refusal(socket, &self.id, &[]).await?;
            }
            if let Some(request) = request {
                return Ok(request);
            }
        }
    }
}

async fn wait_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => future::pending().await,
    }
}

// Without an id, the refusal names no request.
async fn write_refusal(socket: &mut TcpStream, id: &str, announcement: &[(&str, &str)]) -> io::Result<()> {
    let headers = [("not-executed", "1"), ("request-id", id)];
    let headers = if id.is_empty() { &headers[..1] } else { &headers[..] };
    http1::write(socket, 503, &[headers, announcement].concat(), b"").await
}

/// Refuses a request with these values of `retry-after`, with or without `not-executed`.
///
/// # Errors
/// If the connection breaks.
pub async fn ask_for_pause(
    socket: &mut TcpStream,
    id: &str,
    not_run: bool,
    delays: &[String],
    announcement: &[(&str, &str)],
) -> io::Result<()> {
    let signature = [("request-id", id), ("response-stamp", RESPONSE_STAMP)];
    let proof: &[_] = if not_run { &[("not-executed", "1")] } else { &[] };
    let delays: Vec<_> = delays.iter().map(|value| ("retry-after", value.as_str())).collect();
    http1::write(socket, 503, &[&signature, proof, &delays, announcement].concat(), b"").await
}
