//! HTTP server for callers: accepts requests, checks them against the declarations, and answers them.

mod activity;
mod admit;
mod answer;
mod attempts;
mod body;
mod body_budget;
mod buffered;
mod caller_io;
pub mod callers;
mod choose;
mod connection;
mod connections;
mod limits;
mod record;
mod refusal;
mod rejections;
mod relay;
mod reply;
mod silence;
mod start;
mod stream;
mod takeover;

use std::{sync::Arc, time::Duration};

use bluebell_core::ingress::Limits;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use self::{
    activity::Activity,
    connection::CallerConnection,
    connections::{Admission, Slot},
    rejections::Cause,
};
use super::{
    pool::{CALLER_USER_TIMEOUT, configure_socket},
    state::Gateway,
    stop,
};
use crate::{error::DaemonError, listen::listen};

/// Size of the operating system's buffers of a caller's connection in bytes, in each direction: what it holds counts
/// towards the memory of the machine, and its own limits are several MB. Allows 10 MB/s over a round trip of 6 ms.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;
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
    if gateway.settings.machine.is_some() {
        bound_buffers(&listener);
    }
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
                start_connection(&gateway, socket, &shutdown);
            }
            Err(error) => {
                log::warn!("can't accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

// Bounds the buffers of all connections that are accepted from now on.
fn bound_buffers(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let result = socket
        .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES));
    if let Err(error) = result {
        log::warn!("can't set the buffers of callers' connections: {error}");
    }
}

fn start_connection(gateway: &Arc<Gateway>, socket: TcpStream, shutdown: &watch::Receiver<bool>) {
    let limits = gateway.routing.load().declared.as_ref().map_or_else(Limits::default, |declared| declared.limits);
    let activity = Arc::new(Activity::new(Arc::clone(&gateway.clock), &limits));
    let Some(slot) = take_slot(gateway, &activity) else { return };
    if let Err(error) = configure_socket(&socket, CALLER_USER_TIMEOUT) {
        log::debug!("can't set TCP options on a caller's connection: {error}");
    }
    let connection = CallerConnection { gateway: Arc::clone(gateway), activity, slot, head_limit: limits.head };
    tokio::spawn(connection.serve(socket, shutdown.clone()));
}

fn take_slot(gateway: &Gateway, activity: &Arc<Activity>) -> Option<Slot> {
    let callers = &gateway.callers;
    let record = |cause| callers.rejections.record(gateway.now(), cause, &gateway.metrics);
    match callers.connections.admit(activity) {
        Admission::Free(slot) => Some(slot),
        Admission::Replaces(slot) => {
            record(Cause::IdleReplaced);
            Some(slot)
        }
        Admission::Refused => {
            record(Cause::Connections);
            None
        }
    }
}
