//! The side that callers see: takes requests, checks them against the declarations, and answers.

mod admit;
mod answer;
mod body;
mod choose;
mod plain;
mod record;
mod refusal;
mod reply;
mod stream;
mod tries;

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{pool::watch_socket, state::Gateway, stop};
use crate::{error::DaemonError, listen::listen};

/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers callers until the process is told to stop.
///
/// Connections are hyper's own: the server of the HTTP framework ends a body that broke off as if it were whole.
///
/// # Errors
/// When the address can't be listened on.
pub async fn serve(gateway: Arc<Gateway>) -> Result<(), DaemonError> {
    let listener = listen(gateway.settings.listen.callers)?;
    let (closing, closes) = watch::channel(false);
    let accepting = tokio::spawn(accept(Arc::clone(&gateway), listener, closes));
    stop::ordered(&gateway).await;
    closing.send_replace(true);
    stop::last_answers(&gateway).await;
    accepting.abort();
    Ok(())
}

async fn accept(gateway: Arc<Gateway>, listener: TcpListener, closes: watch::Receiver<bool>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::spawn(converse(Arc::clone(&gateway), socket, closes.clone()));
            }
            Err(error) => {
                log::warn!("can't accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(gateway: Arc<Gateway>, socket: TcpStream, mut closes: watch::Receiver<bool>) {
    if let Err(error) = watch_socket(&socket) {
        log::debug!("a caller's connection takes no options: {error}");
    }
    let service = service_fn(|request: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(answer::answer(&gateway, request).await) }
    });
    let mut connection = std::pin::pin!(http1::Builder::new().serve_connection(TokioIo::new(socket), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = told(&mut closes) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection ended: {error}");
    }
}

// A connection that comes after the order gets one answer, which closes it: its balancer has nowhere else to send it.
// Never returns where nobody can tell any more.
async fn told(closes: &mut watch::Receiver<bool>) {
    let late = *closes.borrow_and_update();
    if late || closes.wait_for(|closes| *closes).await.is_err() {
        std::future::pending::<()>().await;
    }
}
