//! Server side of a connection: accepts connections, authenticates the sender of each stream and passes the stream to
//! the process.

use std::{sync::Arc, time::Duration};

use bluebell_core::ids::InstanceId;
use bytes::Bytes;
use h2::{
    RecvStream,
    server::{Connection, SendResponse},
};
use http::{Request, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time::timeout,
};

use crate::{
    Identity, Route, TOKEN_HEADER,
    error::{InvalidTokenSnafu, NoTokenSnafu, WireError},
    frame::{FrameReader, FrameWriter},
};

/// Time allowed for the h2 handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of open streams per connection.
const MAX_STREAMS: u32 = 8192;
/// Maximum total size of a stream's headers, in bytes.
const MAX_HEADER_BYTES: u32 = 4096;
/// h2 flow-control window of a stream, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;
/// h2 flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 16 << 20;
/// Delay before accepting again after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A stream opened by an authenticated peer.
pub struct Incoming {
    /// Route that the stream was opened on.
    pub route: Route,
    /// Peer that opened the stream.
    pub from: InstanceId,
    body: RecvStream,
    respond: SendResponse<Bytes>,
}

impl Incoming {
    /// Accepts the stream: sends the response headers and returns both halves.
    ///
    /// # Errors
    /// When the connection broke.
    pub fn accept<R, S>(mut self) -> Result<(FrameReader<R>, FrameWriter<S>), WireError>
    where
        R: DeserializeOwned,
        S: Serialize,
    {
        let stream = self.respond.send_response(Response::new(()), false)?;
        Ok((FrameReader::new(self.body), FrameWriter::new(stream)))
    }
}

/// Server for connections from peers.
pub struct Server {
    identity: Arc<Identity>,
    streams: mpsc::Sender<Incoming>,
    shutting_down: watch::Receiver<bool>,
}

impl Server {
    /// Creates a server that sends incoming streams to a channel. It shuts its connections down gracefully once
    /// `shutting_down` becomes true.
    #[must_use]
    pub fn new(identity: Arc<Identity>, streams: mpsc::Sender<Incoming>, shutting_down: watch::Receiver<bool>) -> Self {
        Self { identity, streams, shutting_down }
    }

    /// Accepts connections until the process ends.
    pub async fn run(self, listener: TcpListener) {
        let shared = Arc::new(self);
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    tokio::spawn(Arc::clone(&shared).serve(socket));
                }
                Err(error) => {
                    log::warn!("accepting a peer connection failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, socket: TcpStream) {
        if let Err(error) = self.handle_connection(socket).await {
            log::debug!("connection from peer closed: {error}");
        }
    }

    async fn handle_connection(&self, socket: TcpStream) -> Result<(), WireError> {
        let address = socket.peer_addr().map(|address| address.to_string()).unwrap_or_default();
        let mut builder = h2::server::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_BYTES);
        let handshake = timeout(HANDSHAKE_TIMEOUT, builder.handshake(socket)).await;
        let timed_out = WireError::Timeout { address, time_limit: HANDSHAKE_TIMEOUT };
        let mut connection = handshake.map_err(|_| timed_out)??;
        let mut shutting_down = self.shutting_down.clone();
        let mut shutdown_handled = false;
        loop {
            tokio::select! {
                stream = connection.accept() => {
                    let Some(stream) = stream else { return Ok(()) };
                    let (request, respond) = stream?;
                    self.dispatch(&mut connection, request, respond).await?;
                }
                shutdown = wait_for_shutdown(&mut shutting_down), if !shutdown_handled => {
                    shutdown_handled = true;
                    if shutdown {
                        connection.graceful_shutdown();
                    }
                }
            }
        }
    }

    async fn dispatch(
        &self,
        connection: &mut Connection<TcpStream, Bytes>,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), WireError> {
        let sender = self.authenticate(&request);
        let route: Result<Route, WireError> = request.uri().path().parse();
        let (from, route) = match (sender, route) {
            (Ok(from), Ok(route)) => (from, route),
            (Err(error), _) => return reject(connection, &mut respond, StatusCode::UNAUTHORIZED, error),
            (_, Err(error)) => return reject(connection, &mut respond, StatusCode::NOT_FOUND, error),
        };
        let incoming = Incoming { route, from, body: request.into_body(), respond };
        // The receiver is dropped only when the process exits.
        let _ = self.streams.send(incoming).await;
        Ok(())
    }

    fn authenticate(&self, request: &Request<RecvStream>) -> Result<InstanceId, WireError> {
        let token = request.headers().get(TOKEN_HEADER).context(NoTokenSnafu)?;
        let token = token.to_str().ok().context(NoTokenSnafu)?;
        self.identity.keys().check_token(token, self.identity.since_epoch()).context(InvalidTokenSnafu)
    }
}

// Returns true once the process shuts down, false if the sender of the signal was dropped.
async fn wait_for_shutdown(shutting_down: &mut watch::Receiver<bool>) -> bool {
    shutting_down.wait_for(|is_set| *is_set).await.is_ok()
}

// Rejects a stream without a valid token or with an unknown route, and shuts the whole connection down.
fn reject(
    connection: &mut Connection<TcpStream, Bytes>,
    respond: &mut SendResponse<Bytes>,
    status: StatusCode,
    error: WireError,
) -> Result<(), WireError> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true)?;
    log::warn!("rejected a peer's stream with status {status}: {error}");
    connection.graceful_shutdown();
    Ok(())
}
