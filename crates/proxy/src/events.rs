//! Cutting a stream into whole events and following their numbers. Pure.
//!
//! Only whole events are handed on, so that a stream that breaks inside one can be continued by
//! another replica behind the last whole event.

use bytes::{Bytes, BytesMut};

/// Largest event, bytes.
const EVENT_LIMIT: usize = 1024 * 1024;

/// Takes bytes in as they come and hands whole events out.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    searched: usize,
    last_event: Option<u64>,
    oversized: bool,
}

impl EventBuffer {
    /// A buffer for a stream that goes on behind `last_event`.
    pub fn after(last_event: Option<u64>) -> Self {
        Self {
            last_event,
            ..Self::default()
        }
    }

    /// Number of the last event that was handed out.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether bytes of an unfinished event wait.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether an event was larger than any that is taken.
    pub fn is_oversized(&self) -> bool {
        self.oversized
    }

    /// Takes bytes in; hands out the whole events that they complete, in one piece.
    ///
    /// Events whose number is not above the last one are dropped: the client has them.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.next_boundary() {
            let event = self.pending.split_to(end);
            self.searched = 0;
            if self.accepts(&event) {
                whole.extend_from_slice(&event);
            }
        }
        self.oversized |= self.pending.len() > EVENT_LIMIT;
        whole.freeze()
    }

    /// Forgets an unfinished event.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.searched = 0;
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

    /// End of the first whole event: the byte behind an empty line.
    fn next_boundary(&mut self) -> Option<usize> {
        let bytes = &self.pending;
        let mut position = self.searched;
        while position < bytes.len() {
            if bytes[position] == b'\n' {
                let rest = &bytes[position + 1..];
                if rest.first() == Some(&b'\n') {
                    return Some(position + 2);
                }
                if rest.starts_with(b"\r\n") {
                    return Some(position + 3);
                }
            }
            position += 1;
        }
        // The last two bytes may begin a boundary.
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
