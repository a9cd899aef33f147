//! TCP socket with a limit on the bytes that may be read from it. It bounds everything that an upstream sends before
//! the head of its answer is complete, whatever those bytes are.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that may still be read from a socket. Clones share the limit.
#[derive(Debug, Clone)]
pub struct ReadLimit(Arc<AtomicUsize>);

impl ReadLimit {
    /// Sets the number of bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }
}

/// A socket whose reads fail once its limit is used up.
#[derive(Debug)]
pub struct ReadLimitedSocket {
    socket: TcpStream,
    limit: ReadLimit,
}

impl ReadLimitedSocket {
    /// Wraps a socket from which at most `bytes` may be read, unless the returned limit is set anew.
    #[must_use]
    pub fn new(socket: TcpStream, bytes: usize) -> (Self, ReadLimit) {
        let limit = ReadLimit(Arc::new(AtomicUsize::new(bytes)));
        (Self { socket, limit: limit.clone() }, limit)
    }
}

impl AsyncRead for ReadLimitedSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let left = self.limit.0.load(Ordering::Relaxed);
        if left == 0 {
            let reason = "the upstream sends too much before the head of its answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        // A limit that was set during the read is not overwritten.
        let remaining = left.saturating_sub(read);
        let _ = self.limit.0.compare_exchange(left, remaining, Ordering::Relaxed, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for ReadLimitedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
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
