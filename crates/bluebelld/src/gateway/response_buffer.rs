//! Buffers for what upstreams send and callers don't get yet: answers that are read completely before they are forwarded,
//! and incomplete events of streams. There is a limit for each answer and for all of them together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use snafu::Snafu;

/// Maximum size of a buffered answer.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Bytes of each answer that don't count towards the total, so that short answers are always accepted.
const EXEMPT_BYTES: usize = 64 << 10;
/// The same for the incomplete event of a stream.
const EXEMPT_EVENT_BYTES: usize = 8 << 10;
/// Maximum total of counted bytes, over all answers being buffered.
const MAX_TOTAL_BYTES: usize = 8 << 20;

/// Why an answer can't be buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BufferError {
    /// The answer exceeds the maximum size.
    #[snafu(display("the answer is longer than {MAX_ANSWER_BYTES} bytes"))]
    TooLong,
    /// The answers being buffered exceed the maximum total.
    #[snafu(display("the answers being read hold more than {MAX_TOTAL_BYTES} bytes"))]
    TotalExceeded,
}

/// Counted bytes of all answers being buffered.
#[derive(Debug, Default)]
pub struct BufferBudget(AtomicUsize);

/// Counted bytes of one answer. They are given back when it is dropped.
#[derive(Debug)]
pub struct BufferCharge {
    budget: Arc<BufferBudget>,
    exempt: usize,
    counted: usize,
}

/// Buffer of one answer.
#[derive(Debug)]
pub struct ResponseBuffer {
    charge: BufferCharge,
    bytes: Vec<u8>,
}

impl BufferBudget {
    /// Creates an empty buffer that counts towards this budget.
    #[must_use]
    pub fn new_buffer(self: &Arc<Self>) -> ResponseBuffer {
        ResponseBuffer { charge: self.charge(EXEMPT_BYTES), bytes: Vec::new() }
    }

    /// Creates a charge for the incomplete event of a stream.
    #[must_use]
    pub fn event_charge(self: &Arc<Self>) -> BufferCharge {
        self.charge(EXEMPT_EVENT_BYTES)
    }

    fn charge(self: &Arc<Self>, exempt: usize) -> BufferCharge {
        BufferCharge { budget: Arc::clone(self), exempt, counted: 0 }
    }
}

impl BufferCharge {
    /// Sets the number of bytes that are buffered.
    ///
    /// # Errors
    /// When there are more than before, and the total of all answers exceeds its maximum.
    pub fn set(&mut self, length: usize) -> Result<(), BufferError> {
        let counted = length.saturating_sub(self.exempt);
        let before = std::mem::replace(&mut self.counted, counted);
        if counted <= before {
            self.budget.0.fetch_sub(before - counted, Ordering::Relaxed);
            return Ok(());
        }
        let more = counted - before;
        let total = self.budget.0.fetch_add(more, Ordering::Relaxed) + more;
        if total > MAX_TOTAL_BYTES { TotalExceededSnafu.fail() } else { Ok(()) }
    }
}

impl Drop for BufferCharge {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for ResponseBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ResponseBuffer {
    /// Appends a chunk of the body.
    ///
    /// # Errors
    /// When the answer, or the total of all answers, would exceed its maximum.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BufferError> {
        let length = self.bytes.len() + chunk.len();
        if length > MAX_ANSWER_BYTES {
            return TooLongSnafu.fail();
        }
        if length > self.bytes.capacity() {
            // Grows by less than the default of twice the size, as the reserve is counted as well.
            let reserve = chunk.len().max(self.bytes.len() / 4);
            self.charge.set(self.bytes.len() + reserve)?;
            self.bytes.reserve_exact(reserve);
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the buffered bytes. They count until they are dropped, as they are held until the caller has read them.
    #[must_use]
    pub fn finish(self) -> Bytes {
        if self.charge.counted == 0 { self.bytes.into() } else { Bytes::from_owner(self) }
    }
}
