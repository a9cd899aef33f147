//! Length-prefixed bincode frames on the two halves of an h2 stream, subject to the stream's flow control.

use std::{future::poll_fn, marker::PhantomData};

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream, client::ResponseFuture};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, ensure};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::{ClosedSnafu, DecodeSnafu, EncodeSnafu, StatusSnafu, WireError};

/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

const OK: u16 = 200;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

// Receiving half of a stream. The response headers are awaited only when the first message is read, so that the first
// message can be sent without waiting for them.
enum Source {
    Headers(ResponseFuture),
    Body(RecvStream),
}

impl Source {
    async fn body(&mut self) -> Result<&mut RecvStream, WireError> {
        if let Self::Headers(response) = self {
            let response = response.await?;
            let status = response.status().as_u16();
            ensure!(status == OK, StatusSnafu { status });
            *self = Self::Body(response.into_body());
        }
        match self {
            Self::Body(stream) => Ok(stream),
            Self::Headers(_) => ClosedSnafu.fail(),
        }
    }
}

/// Reads messages of one type from a stream.
pub struct FrameReader<T> {
    source: Source,
    buffer: BytesMut,
    codec: LengthDelimitedCodec,
    kind: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> FrameReader<T> {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self::from_source(Source::Body(stream))
    }

    pub(crate) fn from_response(response: ResponseFuture) -> Self {
        Self::from_source(Source::Headers(response))
    }

    fn from_source(source: Source) -> Self {
        Self { source, buffer: BytesMut::new(), codec: codec(), kind: PhantomData }
    }

    /// Reads the next message, or `None` if the peer ended the stream after a complete message.
    ///
    /// # Errors
    /// When the connection or stream failed, the peer refused the stream or ended it within a frame, or the frame is
    /// too long or can't be decoded.
    pub async fn next(&mut self) -> Result<Option<T>, WireError> {
        loop {
            let frame = self.codec.decode(&mut self.buffer).ok().context(crate::error::FrameSizeSnafu)?;
            if let Some(frame) = frame {
                return decode(&frame).map(Some);
            }
            let stream = self.source.body().await?;
            let Some(data) = stream.data().await else {
                return if self.buffer.is_empty() { Ok(None) } else { ClosedSnafu.fail() };
            };
            let data = data?;
            stream.flow_control().release_capacity(data.len())?;
            self.buffer.extend_from_slice(&data);
        }
    }

    /// Reads the next message where the protocol requires one.
    ///
    /// # Errors
    /// As [`FrameReader::next`], and when the peer ended the stream instead of sending a message.
    pub async fn expect(&mut self) -> Result<T, WireError> {
        self.next().await?.context(ClosedSnafu)
    }
}

/// Decodes a message from the bytes of a frame.
///
/// # Errors
/// When the bytes don't start with a valid message.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, WireError> {
    let limits = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, _) = bincode::serde::decode_from_slice(frame, limits).context(DecodeSnafu)?;
    Ok(message)
}

/// Writes messages of one type to a stream.
pub struct FrameWriter<T> {
    stream: SendStream<Bytes>,
    codec: LengthDelimitedCodec,
    kind: PhantomData<fn(T)>,
}

impl<T: Serialize> FrameWriter<T> {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream, codec: codec(), kind: PhantomData }
    }

    /// Sends a message, waiting for flow-control capacity if needed.
    ///
    /// # Errors
    /// When the message can't be encoded or is too long, or the connection or stream failed.
    pub async fn send(&mut self, message: &T) -> Result<(), WireError> {
        self.write(message, false).await
    }

    /// Sends the last message and closes this half of the stream.
    ///
    /// # Errors
    /// When the message can't be encoded or is too long, or the connection or stream failed.
    pub async fn finish(&mut self, message: &T) -> Result<(), WireError> {
        self.write(message, true).await
    }

    /// Closes this half of the stream without sending another message.
    pub fn close(&mut self) {
        if let Err(error) = self.stream.send_data(Bytes::new(), true) {
            log::debug!("can't close a stream that has already ended: {error}");
        }
    }

    /// Resets the stream with `CANCEL`, so that the peer sees that its messages are no longer read.
    pub fn reset(&mut self) {
        self.stream.send_reset(h2::Reason::CANCEL);
    }

    async fn write(&mut self, message: &T, end: bool) -> Result<(), WireError> {
        let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard()).context(EncodeSnafu)?;
        let mut framed = BytesMut::with_capacity(bytes.len() + 4);
        let encoded = self.codec.encode(Bytes::from(bytes), &mut framed);
        encoded.ok().context(crate::error::FrameSizeSnafu)?;
        let mut rest = framed.freeze();
        while !rest.is_empty() {
            let capacity = self.wait_for_capacity(rest.len()).await?;
            let chunk = rest.split_to(capacity.min(rest.len()));
            self.stream.send_data(chunk, end && rest.is_empty())?;
        }
        Ok(())
    }

    async fn wait_for_capacity(&mut self, wanted: usize) -> Result<usize, WireError> {
        self.stream.reserve_capacity(wanted);
        while self.stream.capacity() == 0 {
            poll_fn(|context| self.stream.poll_capacity(context)).await.context(ClosedSnafu)??;
        }
        Ok(self.stream.capacity())
    }

    /// Waits until the peer resets the stream or the connection fails.
    pub async fn closed(&mut self) {
        // Either result means that the peer no longer reads the stream.
        let _ = poll_fn(|context| self.stream.poll_reset(context)).await;
    }
}
