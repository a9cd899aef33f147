//! Answers that are read whole before their callers get any of them, within bounds for each and for all together.

use std::sync::atomic::{AtomicUsize, Ordering};

use snafu::Snafu;

/// Longest answer that is read whole.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Part of an answer that is read whatever the others hold.
const FREE_BYTES: usize = 64 << 10;
/// Bytes that all answers together may hold beyond that.
const MAX_GATHERED_BYTES: usize = 16 << 20;

/// An answer that is not read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum GatherError {
    /// It is longer than any answer.
    #[snafu(display("the answer is longer than {MAX_ANSWER_BYTES} bytes"))]
    TooLong,
    /// All answers together are too long.
    #[snafu(display("the answers being read hold more than {MAX_GATHERED_BYTES} bytes"))]
    NoRoom,
}

/// Bytes that answers hold beyond what each may.
#[derive(Debug, Default)]
pub struct Gathered(AtomicUsize);

/// The bytes of one answer so far.
#[derive(Debug)]
pub struct Answer<'a> {
    all: &'a Gathered,
    bytes: Vec<u8>,
    counted: usize,
}

impl Gathered {
    /// Begins an answer.
    #[must_use]
    pub fn answer(&self) -> Answer<'_> {
        Answer { all: self, bytes: Vec::new(), counted: 0 }
    }
}

impl Answer<'_> {
    /// Adds a piece.
    ///
    /// # Errors
    /// When the answer, or all of them together, would be too long.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), GatherError> {
        let length = self.bytes.len() + piece.len();
        if length > MAX_ANSWER_BYTES {
            return TooLongSnafu.fail();
        }
        let more = length.saturating_sub(FREE_BYTES) - self.counted;
        let held = self.all.0.fetch_add(more, Ordering::Relaxed) + more;
        self.counted += more;
        if more > 0 && held > MAX_GATHERED_BYTES {
            return NoRoomSnafu.fail();
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// The whole answer.
    #[must_use]
    pub fn finish(mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for Answer<'_> {
    fn drop(&mut self) {
        self.all.0.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
