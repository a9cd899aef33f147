//! The side that opens a connection and its streams.

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

/// Age at which a token is made anew.
const TOKEN_REUSE: Duration = Duration::from_secs(30);
/// Bytes in flight on one stream.
const STREAM_WINDOW: u32 = 1 << 20;
/// Bytes in flight on one connection.
const CONNECTION_WINDOW: u32 = 16 << 20;

/// Who this process is to its peers.
pub struct Identity {
    instance: InstanceId,
    keys: Arc<KeyRing>,
    clock: Arc<dyn Clock>,
    token: Mutex<Option<(Duration, String)>>,
}

impl Identity {
    /// An identity that signs with a key ring.
    #[must_use]
    pub fn new(instance: InstanceId, keys: Arc<KeyRing>, clock: Arc<dyn Clock>) -> Self {
        Self { instance, keys, clock, token: Mutex::new(None) }
    }

    /// The instance.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// The keys.
    #[must_use]
    pub fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// The clock.
    #[must_use]
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Time of day, since the Unix epoch.
    #[must_use]
    pub fn since_epoch(&self) -> Duration {
        self.clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
    }

    fn token(&self) -> String {
        let now = self.clock.now();
        let mut kept = self.token.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((made, token)) = kept.as_ref().filter(|(made, _)| now < *made + TOKEN_REUSE) {
            debug_assert!(*made <= now);
            return token.clone();
        }
        let token = self.keys.token(&self.instance, self.since_epoch());
        *kept = Some((now, token.clone()));
        token
    }
}

/// An open connection to a peer; clones share it.
#[derive(Clone)]
pub struct Connection {
    address: String,
    sender: SendRequest<Bytes>,
    identity: Arc<Identity>,
    patience: Duration,
    lost: watch::Receiver<bool>,
}

impl Connection {
    /// Connects to a peer.
    ///
    /// # Errors
    /// When the peer can't be reached or doesn't answer in time.
    pub async fn open(address: &str, identity: Arc<Identity>, patience: Duration) -> Result<Self, WireError> {
        let late = TimeoutSnafu { address, patience };
        let socket = timeout(patience, TcpStream::connect(address)).await;
        let socket = socket.ok().ok_or_else(|| late.build())?.context(ConnectSnafu { address })?;
        socket.set_nodelay(true).context(ConnectSnafu { address })?;
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(STREAM_WINDOW).initial_connection_window_size(CONNECTION_WINDOW);
        let handshake = timeout(patience, builder.handshake(socket)).await;
        let (sender, connection) = handshake.ok().ok_or_else(|| late.build())??;
        let (gone, lost) = watch::channel(false);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection ended: {error}");
            }
            gone.send_replace(true);
        });
        Ok(Self { address: address.to_owned(), sender, identity, patience, lost })
    }

    /// Address of the peer.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Whether the connection is gone.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        *self.lost.borrow()
    }

    /// Opens a stream, without waiting for the peer to accept it.
    ///
    /// # Errors
    /// When the connection broke or carries too many streams.
    pub async fn stream<S, R>(&self, route: Route) -> Result<(FrameWriter<S>, FrameReader<R>), WireError>
    where
        S: Serialize,
        R: DeserializeOwned,
    {
        let request = Request::post(format!("http://{}{route}", self.address))
            .header(TOKEN_HEADER, self.identity.token())
            .body(())
            .context(RequestSnafu)?;
        let late = TimeoutSnafu { address: self.address.as_str(), patience: self.patience };
        let opening = async {
            let mut sender = self.sender.clone().ready().await?;
            let (head, stream) = sender.send_request(request, false)?;
            Ok((FrameWriter::new(stream), FrameReader::awaiting(head)))
        };
        timeout(self.patience, opening).await.unwrap_or_else(|_| late.fail())
    }

    /// Asks one question and waits for its answer.
    ///
    /// # Errors
    /// As [`Connection::stream`], and when the answer doesn't come in time.
    pub async fn ask<S, R>(&self, route: Route, question: &S) -> Result<R, WireError>
    where
        S: Serialize,
        R: DeserializeOwned,
    {
        let late = TimeoutSnafu { address: self.address.as_str(), patience: self.patience };
        let asking = async {
            let (mut writer, mut reader) = self.stream(route).await?;
            writer.finish(question).await?;
            reader.expect().await
        };
        timeout(self.patience, asking).await.unwrap_or_else(|_| late.fail())
    }
}
