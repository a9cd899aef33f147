//! Splits a stream of server-sent events into complete events and checks that their ids are consecutive. An event that
//! an upstream leaves incomplete never reaches the caller.

use snafu::Snafu;

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Capacity of the buffer that is kept however short an incomplete event is.
const MIN_CAPACITY: usize = 4 << 10;
/// Multiple of the needed capacity above which the buffer is shrunk.
const SHRINK_FACTOR: usize = 4;
/// Maximum size of comments and empty lines between two events, in bytes.
const MAX_IDLE_BYTES: usize = 64 << 10;
/// Name of the field with the event id.
const ID_FIELD: &[u8] = b"id:";
/// Fields of server-sent events.
const EVENT_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
/// Start of an HTTP status line, up to the minor version.
const STATUS_START: &[u8] = b"HTTP/1.";
/// Length of a status line up to the end of its status, as in `HTTP/1.1 500`.
const STATUS_LEN: usize = 12;

/// Reason why a stream cannot be forwarded any further.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum EventError {
    /// An event has no id, or its id is not a number.
    #[snafu(display("event after {last} has no readable id"))]
    NoId {
        /// Id of the last valid event.
        last: u64,
    },
    /// The id of an event is not the successor of the previous id.
    #[snafu(display("event {found} follows event {last}"))]
    Gap {
        /// Id of the last valid event.
        last: u64,
        /// Id of the event.
        found: u64,
    },
    /// An event is mixed with the head of an HTTP message.
    #[snafu(display("event after {last} contains an HTTP head"))]
    Head {
        /// Id of the last valid event.
        last: u64,
    },
    /// Too many bytes arrived without an event.
    #[snafu(display("more than {MAX_IDLE_BYTES} bytes without an event after {last}"))]
    NoEvent {
        /// Id of the last valid event.
        last: u64,
    },
    /// An event exceeds the maximum size.
    #[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
}

/// Complete events from a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Unchanged bytes of the events, including comments between them.
    pub bytes: Vec<u8>,
    /// Number of events.
    pub count: u64,
}

/// Splits a stream into complete events.
#[derive(Debug, Clone)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    last: u64,
    // Bytes of comments and empty lines since the last event.
    idle_bytes: usize,
    // Start of the incomplete line, and the position up to which the buffer was scanned.
    line: usize,
    scanned: usize,
    fault: Option<EventError>,
}

impl EventSplitter {
    /// Creates a splitter that expects the event after `last`, the last one that the caller has received.
    #[must_use]
    pub fn after(last: u64) -> Self {
        Self { buffer: Vec::new(), last, idle_bytes: 0, line: 0, scanned: 0, fault: None }
    }

    /// Id of the last complete event.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Adds bytes and returns the events that are now complete. Events before an invalid one are returned first; the
    /// error is then returned by `fault` or the next call.
    ///
    /// # Errors
    /// If the next event is invalid or out of sequence, or a size limit is exceeded.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Batch, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut count = 0;
        let mut start = 0;
        while let Some(end) = self.next_end() {
            match self.check(start, end) {
                Ok(is_event) => count += u64::from(is_event),
                Err(error) => {
                    self.fault = Some(error);
                    break;
                }
            }
            start = end;
        }
        let batch = Batch { bytes: self.buffer[..start].to_vec(), count };
        self.buffer.drain(..start);
        if self.buffer.capacity() > SHRINK_FACTOR * self.buffer.len().max(MIN_CAPACITY) {
            self.buffer.shrink_to(MIN_CAPACITY);
        }
        (self.line, self.scanned) = (self.line - start, self.buffer.len());
        if self.buffer.len() > MAX_EVENT_BYTES {
            self.fault.get_or_insert(EventError::TooLong);
        }
        if batch.bytes.is_empty() { self.fault().map_or(Ok(batch), Err) } else { Ok(batch) }
    }

    // Checks a complete block of lines. Returns whether it is an event, rather than comments or empty lines.
    fn check(&mut self, start: usize, end: usize) -> Result<bool, EventError> {
        let last = checked_id(&self.buffer[start..end], self.last)?;
        let is_event = last > self.last;
        let idle_bytes = if is_event { 0 } else { self.idle_bytes + end - start };
        if idle_bytes > MAX_IDLE_BYTES {
            return NoEventSnafu { last: self.last }.fail();
        }
        (self.last, self.idle_bytes) = (last, idle_bytes);
        Ok(is_event)
    }

    /// Takes the error found after the events that were returned last.
    pub fn fault(&mut self) -> Option<EventError> {
        self.fault.take()
    }

    // End of the next complete block, including its terminating empty line.
    fn next_end(&mut self) -> Option<usize> {
        loop {
            let length = self.buffer[self.scanned..].iter().position(|byte| *byte == b'\n')?;
            let end = self.scanned + length;
            let line = &self.buffer[self.line..end];
            let is_last = line.is_empty() || line == b"\r";
            (self.line, self.scanned) = (end + 1, end + 1);
            if is_last {
                return Some(end + 1);
            }
        }
    }

    /// Whether the stream is at an event boundary.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Memory of the incomplete event, in bytes.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.capacity()
    }

    /// Discards an incomplete event; another upstream resumes the stream after the last complete one.
    pub fn reset(&mut self) {
        self.buffer = Vec::new();
        (self.idle_bytes, self.line, self.scanned, self.fault) = (0, 0, 0, None);
    }
}

// Validates an event and returns its id; returns `last` for comments and empty lines.
fn checked_id(event: &[u8], last: u64) -> Result<u64, EventError> {
    if !has_field(event) {
        return Ok(last);
    }
    let found = event_id(event).ok_or(EventError::NoId { last })?;
    if last.checked_add(1) != Some(found) {
        return GapSnafu { last, found }.fail();
    }
    if has_head(event) { HeadSnafu { last }.fail() } else { Ok(found) }
}

// Whether an event contains an HTTP head. An event may contain text about HTTP as well: within a line, a status line
// counts only if a header follows.
fn has_head(event: &[u8]) -> bool {
    let mut lines = lines(event).peekable();
    while let Some(line) = lines.next() {
        let has_header = lines.peek().is_some_and(|next| is_header(next));
        match line.windows(STATUS_LEN).position(is_status) {
            Some(0) => return true,
            Some(_) if has_header => return true,
            _ => {}
        }
    }
    false
}

fn is_status(bytes: &[u8]) -> bool {
    bytes.strip_prefix(STATUS_START).is_some_and(|rest| {
        matches!(rest, [minor, b' ', status @ ..] if minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit))
    })
}

// Whether a line has a name that is not the one of an event's field.
fn is_header(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    !name.is_empty() && name.len() < line.len() && !EVENT_FIELDS.contains(&name)
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

// Whether a block contains a field. Comments and empty lines are not events.
fn has_field(event: &[u8]) -> bool {
    lines(event).any(|line| !line.is_empty() && !line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = lines(event).find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
