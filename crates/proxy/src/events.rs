//! Splits a stream into complete events and tracks their ids. Pure.
//!
//! Only complete events are forwarded, so that a stream that breaks within one can be resumed by
//! another replica after the last complete event.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Maximum size of events in a row that the client has already, bytes.
const MAX_REPEATED_BYTES: usize = 16 * 1024 * 1024;

/// Buffers incoming bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    searched: usize,
    last_event: Option<u64>,
    /// Size of the events that were dropped since the last one that was returned, bytes.
    repeated_bytes: usize,
    oversized: bool,
}

impl EventBuffer {
    /// Creates a buffer for a stream that continues after `last_event`.
    pub fn after(last_event: Option<u64>) -> Self {
        Self {
            last_event,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was returned.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether the buffer holds an incomplete event.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether an event, or the repeated events in a row, exceeded the maximum size.
    pub fn is_oversized(&self) -> bool {
        self.oversized
    }

    /// Adds bytes and returns the events that they complete, concatenated.
    ///
    /// Events whose id is not above the last one are dropped, as the client already has them.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = self.next_boundary() {
            let event = self.pending.split_to(end);
            self.searched = 0;
            if self.accepts(&event) {
                self.repeated_bytes = 0;
                complete.extend_from_slice(&event);
            } else {
                self.repeated_bytes += event.len();
            }
        }
        self.oversized |=
            self.pending.len() > MAX_EVENT_BYTES || self.repeated_bytes > MAX_REPEATED_BYTES;
        complete.freeze()
    }

    /// Discards an incomplete event; the stream goes on at another replica.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.searched = 0;
        self.repeated_bytes = 0;
        self.oversized = false;
    }

    fn accepts(&mut self, event: &[u8]) -> bool {
        let Some(number) = event_number(event) else {
            return true;
        };
        if self.last_event.is_some_and(|last| number <= last) {
            return false;
        }
        self.last_event = Some(number);
        true
    }

    /// Returns the end of the first complete event, after the empty line.
    fn next_boundary(&mut self) -> Option<usize> {
        let bytes = &self.pending;
        let mut position = self.searched;
        while position < bytes.len() {
            if bytes[position] == b'\n' {
                let remaining = &bytes[position + 1..];
                if remaining.first() == Some(&b'\n') {
                    return Some(position + 2);
                }
                if remaining.starts_with(b"\r\n") {
                    return Some(position + 3);
                }
            }
            position += 1;
        }
        // The last two bytes may be the start of a boundary.
        self.searched = bytes.len().saturating_sub(2);
        None
    }
}

fn event_number(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
