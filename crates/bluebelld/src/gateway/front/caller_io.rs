//! Socket of a caller, which records when bytes are received and when the caller doesn't take what is sent to it. The
//! body of an answer marks the end of the request.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{
    activity::{Activity, RequestGuard},
    body::AnswerBody,
};

/// Socket of a caller.
pub struct CallerSocket {
    /// The socket.
    pub socket: TcpStream,
    activity: Arc<Activity>,
    is_blocked: bool,
}

impl CallerSocket {
    /// Wraps a socket.
    #[must_use]
    pub fn new(socket: TcpStream, activity: Arc<Activity>) -> Self {
        Self { socket, activity, is_blocked: false }
    }

    fn record_write(&mut self, polled: &Poll<io::Result<usize>>) {
        if self.is_blocked != polled.is_pending() {
            self.is_blocked = polled.is_pending();
            self.activity.record_write(self.is_blocked);
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.record_read();
        }
        polled
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// Body of an answer; its request ends when it is dropped.
pub struct TrackedBody {
    body: AnswerBody,
    _request: RequestGuard,
}

impl TrackedBody {
    /// Joins the body of an answer with its request.
    #[must_use]
    pub fn new(body: AnswerBody, request: RequestGuard) -> Self {
        Self { body, _request: request }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
