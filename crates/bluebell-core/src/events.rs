//! Events of a streamed answer: cut into whole events, with ids that grow by one. What an upstream leaves unfinished
//! never reaches the caller.

use snafu::Snafu;

/// Largest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Bytes of comments and empty lines that may come between two events.
const MAX_IDLE_BYTES: usize = 64 << 10;
/// Field that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// A stream that can't be passed on.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum EventError {
    /// An event has no id, or one that is not a number.
    #[snafu(display("event after {last} has no readable id"))]
    NoId {
        /// The last id passed on.
        last: u64,
    },
    /// An event doesn't follow the one before.
    #[snafu(display("event {found} follows event {last}"))]
    Gap {
        /// The last id passed on.
        last: u64,
        /// The id found.
        found: u64,
    },
    /// Bytes come that belong to no event.
    #[snafu(display("more than {MAX_IDLE_BYTES} bytes without an event after {last}"))]
    NoEvent {
        /// The last id passed on.
        last: u64,
    },
    /// An event is too long.
    #[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
}

/// Whole events that were taken from a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Their bytes, as they came.
    pub bytes: Vec<u8>,
    /// How many there are.
    pub count: u64,
}

/// Cuts a stream into whole events.
#[derive(Debug, Clone)]
pub struct EventCutter {
    buffer: Vec<u8>,
    last: u64,
    // Bytes since the last event.
    idle: usize,
    // Where the line begins that is not whole yet, and up to where it was looked through.
    line: usize,
    seen: usize,
    fault: Option<EventError>,
}

impl EventCutter {
    /// A cutter that expects the event after the last one that the caller has.
    #[must_use]
    pub fn after(last: u64) -> Self {
        Self { buffer: Vec::new(), last, idle: 0, line: 0, seen: 0, fault: None }
    }

    /// Id of the last whole event.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Takes bytes; gives the events that are whole now. Those before a fault are given, too; the fault comes next.
    ///
    /// # Errors
    /// When the first event can't be read or doesn't follow the one before.
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
        (self.line, self.seen) = (self.line - start, self.buffer.len());
        if self.buffer.len() > MAX_EVENT_BYTES {
            self.fault.get_or_insert(EventError::TooLong);
        }
        if batch.bytes.is_empty() { self.fault().map_or(Ok(batch), Err) } else { Ok(batch) }
    }

    // Takes a whole event, or lines that are none; tells which.
    fn check(&mut self, start: usize, end: usize) -> Result<bool, EventError> {
        let last = checked_id(&self.buffer[start..end], self.last)?;
        let is_event = last > self.last;
        let idle = if is_event { 0 } else { self.idle + end - start };
        if idle > MAX_IDLE_BYTES {
            return NoEventSnafu { last: self.last }.fail();
        }
        (self.last, self.idle) = (last, idle);
        Ok(is_event)
    }

    /// Takes the fault that came after the events given last.
    pub fn fault(&mut self) -> Option<EventError> {
        self.fault.take()
    }

    // End of the first event that has not been taken, with the empty line that ends it.
    fn next_end(&mut self) -> Option<usize> {
        loop {
            let length = self.buffer[self.seen..].iter().position(|byte| *byte == b'\n')?;
            let end = self.seen + length;
            let line = &self.buffer[self.line..end];
            let is_last = line.is_empty() || line == b"\r";
            (self.line, self.seen) = (end + 1, end + 1);
            if is_last {
                return Some(end + 1);
            }
        }
    }

    /// Whether the stream stands between two events.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Drops an unfinished event, since another upstream goes on after the last whole one.
    pub fn reset(&mut self) {
        self.buffer.clear();
        (self.idle, self.line, self.seen, self.fault) = (0, 0, 0, None);
    }
}

// Id of the last event once this one is passed on.
fn checked_id(event: &[u8], last: u64) -> Result<u64, EventError> {
    if !has_field(event) {
        return Ok(last);
    }
    let found = event_id(event).ok_or(EventError::NoId { last })?;
    if last.checked_add(1) != Some(found) {
        return GapSnafu { last, found }.fail();
    }
    Ok(found)
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

// A comment or an empty line is no event.
fn has_field(event: &[u8]) -> bool {
    lines(event).any(|line| !line.is_empty() && !line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = lines(event).find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
