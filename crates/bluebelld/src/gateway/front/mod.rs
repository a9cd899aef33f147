//! HTTP server for callers: accepts requests, checks them against the declarations, and answers them.

mod admit;
mod answer;
mod attempts;
mod body;
mod buffered;
mod choose;
mod record;
mod refusal;
mod relay;
mod reply;
mod silence;
mod start;
mod stream;
mod takeover;

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::{Request, Version, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{
    pool::{CALLER_USER_TIMEOUT, configure_socket},
    state::Gateway,
    stop,
};
use crate::{error::DaemonError, listen::listen};

/// Delay after the operating system failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves callers until the process is told to stop and requests in flight are finished or the drain time is over.
///
/// Uses hyper directly: the HTTP framework's server terminates a response body that was cut off as if it were complete.
///
/// # Errors
/// When the gateway can't listen on its address.
pub async fn serve(gateway: Arc<Gateway>) -> Result<(), DaemonError> {
    let listener = listen(gateway.settings.listen.callers)?;
    let (shutdown_tx, shutdown_rx) = watch::channel(false);
    let accepting = tokio::spawn(accept_connections(Arc::clone(&gateway), listener, shutdown_rx));
    stop::wait_for_signal(&gateway).await;
    shutdown_tx.send_replace(true);
    stop::drain(&gateway).await;
    accepting.abort();
    Ok(())
}

async fn accept_connections(gateway: Arc<Gateway>, listener: TcpListener, shutdown: watch::Receiver<bool>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::spawn(serve_connection(Arc::clone(&gateway), socket, shutdown.clone()));
            }
            Err(error) => {
                log::warn!("can't accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(gateway: Arc<Gateway>, socket: TcpStream, mut shutdown: watch::Receiver<bool>) {
    if let Err(error) = configure_socket(&socket, CALLER_USER_TIMEOUT) {
        log::debug!("can't set TCP options on a caller's connection: {error}");
    }
    // Callers that speak HTTP/1.0 know no chunks: the end of the connection is the end of the answer.
    let ends_unframed = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        ends_unframed.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(answer::answer(&gateway, request).await) }
    });
    let mut connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    let result = tokio::select! {
        result = &mut connection => Some(result),
        () = shutdown_started(&mut shutdown) => None,
    };
    let result = match result {
        Some(result) => result,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if let Err(error) = result {
        log::debug!("a caller's connection failed: {error}");
        if ends_unframed.load(Ordering::Relaxed) {
            reset(&connection.into_parts().io.into_inner());
        }
    }
}

// Makes a connection end with a reset when it is dropped, so that an answer that is broken off doesn't look complete.
fn reset(socket: &TcpStream) {
    if let Err(error) = socket.set_zero_linger() {
        log::warn!("a caller's connection can't be reset: {error}");
    }
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
