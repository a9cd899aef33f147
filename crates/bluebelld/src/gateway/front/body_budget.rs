//! Request bodies: reads them within the limit of each and of all together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;

/// Bytes of each body that don't count towards the total, so that short ones are always accepted.
const EXEMPT_BYTES: usize = 16 << 10;

/// Why a body is not read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It exceeds the limit of a body.
    #[snafu(display("the body is too long"))]
    TooLong,
    /// All bodies together exceed their limit.
    #[snafu(display("the bodies being read or forwarded take too much memory"))]
    TotalExceeded,
    /// The connection failed, or the framing is invalid.
    #[snafu(display("{reason}"))]
    Broken {
        /// Error of the HTTP library.
        reason: String,
    },
}

/// Counted bytes of all bodies.
#[derive(Debug)]
pub struct BodyBudget {
    held: AtomicUsize,
    limit: usize,
}

/// Counted bytes of one body. They are given back when it is dropped.
#[derive(Debug)]
struct Charge {
    budget: Arc<BodyBudget>,
    counted: usize,
}

/// A body with its charge.
struct ChargedBody {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBudget {
    /// Creates a budget with a limit in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { held: AtomicUsize::new(0), limit })
    }

    /// Counted bytes of all bodies.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}

impl Charge {
    // A body that is the only counted one is accepted whatever the limit is.
    fn set(&mut self, length: usize) -> Result<(), BodyError> {
        let more = length.saturating_sub(EXEMPT_BYTES).saturating_sub(self.counted);
        let total = self.budget.held.fetch_add(more, Ordering::Relaxed) + more;
        self.counted += more;
        if more > 0 && total > self.budget.limit && total > self.counted {
            return TotalExceededSnafu.fail();
        }
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

/// Reads a body of at most `limit` bytes. It counts towards the budget until the last reference to it is dropped.
///
/// # Errors
/// When the body, or all together, are too long, or the body can't be read.
pub async fn read(mut body: Incoming, limit: usize, budget: &Arc<BodyBudget>) -> Result<Bytes, BodyError> {
    let announced = body.size_hint().exact().map_or(0, |length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced > limit {
        return TooLongSnafu.fail();
    }
    let mut charge = Charge { budget: Arc::clone(budget), counted: 0 };
    // A body that arrives in one part is not copied.
    let mut first = Bytes::new();
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken { reason: error.to_string() })?;
        let Ok(data) = frame.into_data() else { continue };
        if first.is_empty() && buffer.is_empty() {
            if data.len() > limit {
                return TooLongSnafu.fail();
            }
            charge.set(data.len())?;
            first = data;
            continue;
        }
        let first = std::mem::take(&mut first);
        let length = first.len() + buffer.len() + data.len();
        if length > limit {
            return TooLongSnafu.fail();
        }
        if length > buffer.capacity() {
            // A buffer of the announced size isn't copied as it grows, and the copies would hold memory beyond the total.
            let capacity = if announced > 0 { announced } else { (length + length / 2).min(limit) };
            charge.set(capacity)?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&first);
        buffer.extend_from_slice(&data);
    }
    if buffer.is_empty() {
        return Ok(first);
    }
    Ok(if charge.counted > 0 {
        Bytes::from_owner(ChargedBody { bytes: buffer, _charge: charge })
    } else {
        buffer.into()
    })
}
