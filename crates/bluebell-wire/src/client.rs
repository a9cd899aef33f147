//! Client side of a connection: connects, authenticates and opens streams.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bluebell_core::{clock::Clock, ids::InstanceId, keys::KeyRing};
use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use tokio::{net::TcpStream, sync::watch, time::timeout};

use crate::{
    Route, TOKEN_HEADER,
    error::{ConnectSnafu, RequestSnafu, TimeoutSnafu, WireError},
    frame::{FrameReader, FrameWriter},
};

/// Age at which a cached token is replaced by a new one.
const TOKEN_REFRESH_AGE: Duration = Duration::from_secs(30);
/// h2 flow-control window of a stream, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;
/// h2 flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 16 << 20;

/// Identity of this process towards its peers, with the keys that prove it.
pub struct Identity {
    instance: InstanceId,
    keys: Arc<KeyRing>,
    clock: Arc<dyn Clock>,
    token: Mutex<Option<(Duration, String)>>,
}

impl Identity {
    /// Creates an identity whose tokens are signed with the given key ring.
    #[must_use]
    pub fn new(instance: InstanceId, keys: Arc<KeyRing>, clock: Arc<dyn Clock>) -> Self {
        Self { instance, keys, clock, token: Mutex::new(None) }
    }

    /// Instance id of this process.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Keys that sign this process's tokens and verify those of peers.
    #[must_use]
    pub fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// Clock of this process.
    #[must_use]
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Wall-clock time since the Unix epoch.
    #[must_use]
    pub fn since_epoch(&self) -> Duration {
        self.clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
    }

    fn token(&self) -> String {
        let now = self.clock.now();
        let mut cached = self.token.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((created, token)) = cached.as_ref().filter(|(created, _)| now < *created + TOKEN_REFRESH_AGE) {
            debug_assert!(*created <= now);
            return token.clone();
        }
        let token = self.keys.token(&self.instance, self.since_epoch());
        *cached = Some((now, token.clone()));
        token
    }
}

/// Open connection to a peer. Clones share the underlying connection.
#[derive(Clone)]
pub struct Connection {
    address: String,
    sender: SendRequest<Bytes>,
    identity: Arc<Identity>,
    time_limit: Duration,
    closed: watch::Receiver<bool>,
}

impl Connection {
    /// Connects to a peer. `time_limit` applies to the TCP connect, to the h2 handshake, and later to the opening of
    /// each stream and to each [`Connection::ask`].
    ///
    /// # Errors
    /// When the peer can't be reached or doesn't answer in time.
    pub async fn open(address: &str, identity: Arc<Identity>, time_limit: Duration) -> Result<Self, WireError> {
        let timed_out = TimeoutSnafu { address, time_limit };
        let socket = timeout(time_limit, TcpStream::connect(address)).await;
        let socket = socket.ok().ok_or_else(|| timed_out.build())?.context(ConnectSnafu { address })?;
        socket.set_nodelay(true).context(ConnectSnafu { address })?;
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(STREAM_WINDOW).initial_connection_window_size(CONNECTION_WINDOW);
        let handshake = timeout(time_limit, builder.handshake(socket)).await;
        let (sender, connection) = handshake.ok().ok_or_else(|| timed_out.build())??;
        let (closed_sender, closed) = watch::channel(false);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to peer closed: {error}");
            }
            closed_sender.send_replace(true);
        });
        Ok(Self { address: address.to_owned(), sender, identity, time_limit, closed })
    }

    /// Address of the peer.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Whether the connection is closed or broken.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Opens a stream without waiting for the peer to accept it.
    ///
    /// # Errors
    /// When the connection broke, or no stream could be opened within the time limit because too many are open.
    pub async fn stream<S, R>(&self, route: Route) -> Result<(FrameWriter<S>, FrameReader<R>), WireError>
    where
        S: Serialize,
        R: DeserializeOwned,
    {
        let request = Request::post(format!("http://{}{route}", self.address))
            .header(TOKEN_HEADER, self.identity.token())
            .body(())
            .context(RequestSnafu)?;
        let timed_out = TimeoutSnafu { address: self.address.as_str(), time_limit: self.time_limit };
        let opening = async {
            let mut sender = self.sender.clone().ready().await?;
            let (response, stream) = sender.send_request(request, false)?;
            Ok((FrameWriter::new(stream), FrameReader::from_response(response)))
        };
        timeout(self.time_limit, opening).await.unwrap_or_else(|_| timed_out.fail())
    }

    /// Sends one request message on a new stream and waits for the reply.
    ///
    /// # Errors
    /// As [`Connection::stream`], and when the reply doesn't arrive within the time limit.
    pub async fn ask<S, R>(&self, route: Route, request_message: &S) -> Result<R, WireError>
    where
        S: Serialize,
        R: DeserializeOwned,
    {
        let timed_out = TimeoutSnafu { address: self.address.as_str(), time_limit: self.time_limit };
        let exchange = async {
            let (mut writer, mut reader) = self.stream(route).await?;
            writer.finish(request_message).await?;
            reader.expect().await
        };
        timeout(self.time_limit, exchange).await.unwrap_or_else(|_| timed_out.fail())
    }
}
