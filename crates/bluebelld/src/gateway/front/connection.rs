//! One connection of a caller, from its acceptance to its end.

use std::{
    convert::Infallible,
    future::poll_fn,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Poll, ready},
    time::Duration,
};

use hyper::{Request, Version, body::Incoming, header::CONNECTION, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::{Instant, Sleep},
};

use super::{
    activity::{Activity, Expiry},
    answer,
    caller_io::{CallerSocket, TrackedBody},
    connections::Slot,
    rejections::Cause,
};
use crate::gateway::state::Gateway;

/// Smallest buffer that the HTTP library accepts, in bytes. A smaller limit of a head applies nevertheless.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Largest limit of a head, in bytes, whatever is declared.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Answer to a head that was not complete in time.
const HEAD_TIMEOUT_ANSWER: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Longest time for which a timer is set, whatever is declared.
const MAX_TIMER: Duration = Duration::from_secs(3600);
/// Time for which a caller may go on sending after the last answer, so that no reset discards the answer.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes of it that are read at once.
const LINGER_BUFFER_BYTES: usize = 4096;

/// A connection of a caller.
pub struct CallerConnection {
    /// The gateway.
    pub gateway: Arc<Gateway>,
    /// What it is doing.
    pub activity: Arc<Activity>,
    /// Its place among all connections.
    pub slot: Slot,
    /// Largest head of a request, in bytes.
    pub head_limit: usize,
}

impl CallerConnection {
    /// Serves requests until the connection ends.
    pub async fn serve(self, socket: TcpStream, mut shutdown: watch::Receiver<bool>) {
        let (gateway, activity) = (&self.gateway, &self.activity);
        // Callers that speak HTTP/1.0 know no chunks: the end of the connection is the end of the answer.
        let ends_unframed = AtomicBool::new(false);
        let is_last = AtomicBool::new(false);
        let service = service_fn(|request: Request<Incoming>| {
            ends_unframed.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
            let guard = activity.start_request();
            let is_last = &is_last;
            async move {
                let response = answer::answer(gateway, request).await;
                is_last.store(response.headers().contains_key(CONNECTION), Ordering::Relaxed);
                Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, guard)))
            }
        });
        let head_limit = self.head_limit.min(MAX_HEAD_BYTES);
        let socket = TokioIo::new(CallerSocket::new(socket, Arc::clone(activity)));
        let mut connection = http1::Builder::new()
            .max_buf_size(head_limit.max(MIN_BUFFER_BYTES))
            .max_header_size(head_limit)
            .serve_connection(socket, service);
        let now = gateway.now();
        let mut timer = Timer::new(now, activity.expiry().map_or(now, |(at, _)| at));
        let mut is_closing = false;
        let end = loop {
            tokio::select! {
                end = timer.drive(gateway, activity, &mut connection) => match end {
                    End::Expired(Expiry::Idle) if !is_closing => {}
                    end => break end,
                },
                () = shutdown_started(&mut shutdown), if !is_closing => {}
                () = activity.closed(), if !is_closing => {}
            }
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
        };
        let socket = connection.into_parts().io.into_inner().socket;
        let lingers = match end {
            End::Closed(Ok(())) => is_last.load(Ordering::Relaxed),
            End::Closed(Err(error)) => {
                log::debug!("a caller's connection failed: {error}");
                if error.is_parse_too_large() {
                    self.record(Cause::HeadSize);
                }
                if ends_unframed.load(Ordering::Relaxed) {
                    reset(&socket);
                }
                error.is_parse()
            }
            End::Expired(Expiry::Idle) => false,
            End::Expired(Expiry::Head) => {
                self.record(Cause::HeadTime);
                // The answer is sent if the socket's buffer takes it at once.
                socket.try_write(HEAD_TIMEOUT_ANSWER).is_ok()
            }
            End::Expired(Expiry::Unread) => {
                self.record(Cause::Unread);
                reset(&socket);
                false
            }
        };
        if lingers {
            linger(socket).await;
        }
        drop(self.slot);
    }

    fn record(&self, cause: Cause) {
        self.gateway.callers.rejections.record(self.gateway.now(), cause, &self.gateway.metrics);
    }
}

enum End {
    Closed(hyper::Result<()>),
    Expired(Expiry),
}

// Timer of a connection. It is set again only when it fires, or when the connection is to be closed earlier than that.
struct Timer {
    sleep: Pin<Box<Sleep>>,
    at: Duration,
}

impl Timer {
    fn new(now: Duration, at: Duration) -> Self {
        Self { sleep: Box::pin(tokio::time::sleep(at.saturating_sub(now).min(MAX_TIMER))), at }
    }

    fn set(&mut self, now: Duration, at: Duration) {
        let time = at.saturating_sub(now).min(MAX_TIMER);
        self.sleep.as_mut().reset(Instant::now() + time);
        self.at = at;
    }

    // Drives a connection until it ends or is to be closed. May be cancelled and called again.
    async fn drive(
        &mut self,
        gateway: &Gateway,
        activity: &Activity,
        connection: &mut (impl Future<Output = hyper::Result<()>> + Unpin),
    ) -> End {
        poll_fn(|cx| {
            if let Poll::Ready(result) = Pin::new(&mut *connection).poll(cx) {
                return Poll::Ready(End::Closed(result));
            }
            loop {
                let Some((at, expiry)) = activity.expiry() else { return Poll::Pending };
                if at < self.at {
                    self.set(gateway.now(), at);
                }
                ready!(self.sleep.as_mut().poll(cx));
                let now = gateway.now();
                if now >= at {
                    return Poll::Ready(End::Expired(expiry));
                }
                self.set(now, at);
            }
        })
        .await
    }
}

// Makes a connection end with a reset when it is dropped, so that an answer that is broken off doesn't look complete.
fn reset(socket: &TcpStream) {
    if let Err(error) = socket.set_zero_linger() {
        log::warn!("a caller's connection can't be reset: {error}");
    }
}

// Reads and drops what a caller still sends, for a while: closing a socket with unread bytes resets the connection, and the
// caller may lose the answer.
async fn linger(mut socket: TcpStream) {
    let mut buffer = vec![0; LINGER_BUFFER_BYTES];
    let read = async {
        // The end is marked first, as some answers were written past the HTTP library. An error means that the caller has left.
        if socket.shutdown().await.is_ok() {
            while matches!(socket.read(&mut buffer).await, Ok(count) if count > 0) {}
        }
    };
    // After that time, the connection is closed whatever the caller does.
    let _ = tokio::time::timeout(LINGER_TIME, read).await;
}

// Waits until connections are to be shut down. Never returns on a connection that is opened after that, nor if the
// sender is gone. Such a late connection gets one answer, which closes it, because its load balancer has no other
// gateway to use.
async fn shutdown_started(shutdown: &mut watch::Receiver<bool>) {
    let is_late = *shutdown.borrow_and_update();
    if is_late || shutdown.wait_for(|started| *started).await.is_err() {
        std::future::pending::<()>().await;
    }
}
