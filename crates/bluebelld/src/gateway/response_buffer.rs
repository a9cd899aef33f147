//! Buffers for answers that are read completely before they are forwarded, with a limit for each answer and for all
//! answers together.

use std::sync::atomic::{AtomicUsize, Ordering};

use snafu::Snafu;

/// Maximum size of a buffered answer.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Bytes of each answer that don't count towards the total, so that short answers are always accepted.
const EXEMPT_BYTES: usize = 64 << 10;
/// Maximum total of counted bytes, over all answers being buffered.
const MAX_TOTAL_BYTES: usize = 16 << 20;

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

/// Buffer of one answer. When it is dropped, its counted bytes no longer count towards the total.
#[derive(Debug)]
pub struct ResponseBuffer<'a> {
    budget: &'a BufferBudget,
    bytes: Vec<u8>,
    counted: usize,
}

impl BufferBudget {
    /// Creates an empty buffer that counts towards this budget.
    #[must_use]
    pub fn new_buffer(&self) -> ResponseBuffer<'_> {
        ResponseBuffer { budget: self, bytes: Vec::new(), counted: 0 }
    }
}

impl ResponseBuffer<'_> {
    /// Appends a chunk of the body.
    ///
    /// # Errors
    /// When the answer, or the total of all answers, would exceed its maximum.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BufferError> {
        let length = self.bytes.len() + chunk.len();
        if length > MAX_ANSWER_BYTES {
            return TooLongSnafu.fail();
        }
        let more = length.saturating_sub(EXEMPT_BYTES) - self.counted;
        let total = self.budget.0.fetch_add(more, Ordering::Relaxed) + more;
        self.counted += more;
        if more > 0 && total > MAX_TOTAL_BYTES {
            return TotalExceededSnafu.fail();
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the buffered bytes.
    #[must_use]
    pub fn finish(mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for ResponseBuffer<'_> {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
