//! The side that accepts connections, checks who opens a stream, and hands it on.

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
    error::{NoTokenSnafu, PeerSnafu, WireError},
    frame::{FrameReader, FrameWriter},
};

/// Time that a new connection has for its handshake.
const HANDSHAKE_TIME: Duration = Duration::from_secs(5);
/// Streams that one connection may have open.
const MAX_STREAMS: u32 = 8192;
/// Size of all headers of a stream, in bytes.
const MAX_HEADER_BYTES: u32 = 4096;
/// Bytes in flight on one stream.
const STREAM_WINDOW: u32 = 1 << 20;
/// Bytes in flight on one connection.
const CONNECTION_WINDOW: u32 = 16 << 20;
/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A stream that a peer opened, with its sender proven.
pub struct Incoming {
    /// What it is about.
    pub route: Route,
    /// Who opened it.
    pub from: InstanceId,
    body: RecvStream,
    respond: SendResponse<Bytes>,
}

impl Incoming {
    /// Accepts the conversation.
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

/// Accepts connections of peers.
pub struct Server {
    identity: Arc<Identity>,
    streams: mpsc::Sender<Incoming>,
    leaving: watch::Receiver<bool>,
}

impl Server {
    /// A server that hands streams to a channel and closes its connections when told that it leaves.
    #[must_use]
    pub fn new(identity: Arc<Identity>, streams: mpsc::Sender<Incoming>, leaving: watch::Receiver<bool>) -> Self {
        Self { identity, streams, leaving }
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
                    log::warn!("can't accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, socket: TcpStream) {
        if let Err(error) = self.converse(socket).await {
            log::debug!("a peer's connection ended: {error}");
        }
    }

    async fn converse(&self, socket: TcpStream) -> Result<(), WireError> {
        let address = socket.peer_addr().map(|address| address.to_string()).unwrap_or_default();
        let mut builder = h2::server::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_BYTES);
        let handshake = timeout(HANDSHAKE_TIME, builder.handshake(socket)).await;
        let late = WireError::Timeout { address, patience: HANDSHAKE_TIME };
        let mut connection = handshake.map_err(|_| late)??;
        let mut leaving = self.leaving.clone();
        let mut told = false;
        loop {
            tokio::select! {
                stream = connection.accept() => {
                    let Some(stream) = stream else { return Ok(()) };
                    let (request, respond) = stream?;
                    self.hand_on(&mut connection, request, respond).await?;
                }
                left = wait_leaving(&mut leaving), if !told => {
                    told = true;
                    if left {
                        connection.graceful_shutdown();
                    }
                }
            }
        }
    }

    async fn hand_on(
        &self,
        connection: &mut Connection<TcpStream, Bytes>,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), WireError> {
        let proven = self.prove(&request);
        let route: Result<Route, WireError> = request.uri().path().parse();
        let (from, route) = match (proven, route) {
            (Ok(from), Ok(route)) => (from, route),
            (Err(error), _) => return reject(connection, &mut respond, StatusCode::UNAUTHORIZED, error),
            (_, Err(error)) => return reject(connection, &mut respond, StatusCode::NOT_FOUND, error),
        };
        let incoming = Incoming { route, from, body: request.into_body(), respond };
        // The receiver is gone only when the process ends.
        let _ = self.streams.send(incoming).await;
        Ok(())
    }

    fn prove(&self, request: &Request<RecvStream>) -> Result<InstanceId, WireError> {
        let token = request.headers().get(TOKEN_HEADER).context(NoTokenSnafu)?;
        let token = token.to_str().ok().context(NoTokenSnafu)?;
        self.identity.keys().check_token(token, self.identity.since_epoch()).context(PeerSnafu)
    }
}

// True when the process leaves; false when nobody can say any more.
async fn wait_leaving(leaving: &mut watch::Receiver<bool>) -> bool {
    leaving.wait_for(|leaves| *leaves).await.is_ok()
}

// A peer that can't prove itself, or asks for what isn't there, loses its connection.
fn reject(
    connection: &mut Connection<TcpStream, Bytes>,
    respond: &mut SendResponse<Bytes>,
    status: StatusCode,
    error: WireError,
) -> Result<(), WireError> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true)?;
    log::warn!("a peer's stream was rejected: {error}");
    connection.graceful_shutdown();
    Ok(())
}
