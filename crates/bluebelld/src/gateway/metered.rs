//! A socket that gives only so many bytes until more are allowed for. What an upstream sends before the head of its
//! answer is bounded by it, whatever it is.

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

/// Bytes that a socket may still give; shared with it.
#[derive(Debug, Clone)]
pub struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Allows for so many bytes from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }
}

/// A socket with an allowance.
#[derive(Debug)]
pub struct Metered {
    socket: TcpStream,
    left: Allowance,
}

impl Metered {
    /// A socket that may give so many bytes.
    #[must_use]
    pub fn new(socket: TcpStream, bytes: usize) -> (Self, Allowance) {
        let left = Allowance(Arc::new(AtomicUsize::new(bytes)));
        (Self { socket, left: left.clone() }, left)
    }
}

impl AsyncRead for Metered {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let left = self.left.0.load(Ordering::Relaxed);
        if left == 0 {
            let reason = "the upstream sends too much before the head of its answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        // An allowance set meanwhile stands.
        let spent = left.saturating_sub(read);
        let _ = self.left.0.compare_exchange(left, spent, Ordering::Relaxed, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for Metered {
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
