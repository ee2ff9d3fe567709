//! Buffers of responses that are received completely before they are forwarded.
//!
//! They share a room, from their first bytes until the caller has taken them. A response that states its length waits
//! for its part of the room before it is received, in turn, so that responses which are ready are delivered one after
//! the other instead of failing together.

use std::sync::Arc;

use bytes::Bytes;
use railtack_http::body_buffer::{AllocationFailed, BodyBuffer};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum size of a response, bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Room for all responses of a router whose machine is not known, bytes.
const DEFAULT_ROOM_BYTES: usize = 64 * 1024 * 1024;
/// Part of the room that each response may have besides, so that ordinary ones are received while others are endless:
/// one in this many.
const FREE_DIVISOR: usize = 640;
/// Unit in which the room is counted, bytes.
const UNIT_BYTES: usize = 1024;

/// Room that all responses of a router share.
#[derive(Debug)]
pub struct BufferRoom {
    total_bytes: usize,
    units: Arc<Semaphore>,
}

impl Default for BufferRoom {
    fn default() -> Self {
        Self::new(DEFAULT_ROOM_BYTES)
    }
}

impl BufferRoom {
    /// Creates a room of `total_bytes`.
    pub fn new(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            units: Arc::new(Semaphore::new(total_bytes / UNIT_BYTES)),
        }
    }

    /// Bytes of each response that take no room.
    fn free_bytes(&self) -> usize {
        self.total_bytes / FREE_DIVISOR
    }

    /// Returns the units that a response of this size takes; `None` if it never fits.
    fn units_for(&self, bytes: usize) -> Option<u32> {
        if bytes > MAX_RESPONSE_BYTES {
            return None;
        }
        let units = bytes.saturating_sub(self.free_bytes()).div_ceil(UNIT_BYTES);
        let fits = units <= self.total_bytes / UNIT_BYTES;
        u32::try_from(units).ok().filter(|_| fits)
    }
}

/// The response does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTooLarge;

/// A response that is being received. Gives back its room when dropped.
#[derive(Debug)]
pub struct ResponseBuffer {
    room: Arc<BufferRoom>,
    content: BodyBuffer,
    taken: Option<OwnedSemaphorePermit>,
}

impl ResponseBuffer {
    /// Creates an empty buffer.
    pub fn new(room: Arc<BufferRoom>) -> Self {
        Self {
            room,
            content: BodyBuffer::new(MAX_RESPONSE_BYTES),
            taken: None,
        }
    }

    /// Waits until there is room for a response of `bytes`. Returns whether it had to wait.
    pub async fn reserve(&mut self, bytes: usize) -> Result<bool, ResponseTooLarge> {
        let units = self.missing_units(bytes)?;
        if self.take(units).is_ok() {
            return Ok(false);
        }
        let room = Arc::clone(&self.room.units);
        let taken = room.acquire_many_owned(units).await;
        self.add(taken.map_err(|_| ResponseTooLarge)?);
        Ok(true)
    }

    /// Adds bytes of the response.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ResponseTooLarge> {
        let units = self.missing_units(self.content.len() + bytes.len())?;
        self.take(units)?;
        self.content
            .extend(bytes)
            .map_err(|AllocationFailed| ResponseTooLarge)
    }

    fn take(&mut self, units: u32) -> Result<(), ResponseTooLarge> {
        if units > 0 {
            let room = Arc::clone(&self.room.units);
            let taken = room.try_acquire_many_owned(units);
            self.add(taken.map_err(|_| ResponseTooLarge)?);
        }
        Ok(())
    }

    /// Returns the complete response, which keeps its room until it is dropped.
    pub fn finish(self) -> Bytes {
        match self.taken {
            None => self.content.into_bytes(),
            Some(taken) => Bytes::from_owner(HeldResponse {
                content: self.content,
                _taken: taken,
            }),
        }
    }

    fn missing_units(&self, bytes: usize) -> Result<u32, ResponseTooLarge> {
        let taken = self.taken.as_ref().map_or(0, |taken| taken.num_permits());
        let units = self.room.units_for(bytes).ok_or(ResponseTooLarge)?;
        Ok(units.saturating_sub(taken as u32))
    }

    fn add(&mut self, more: OwnedSemaphorePermit) {
        match &mut self.taken {
            Some(taken) => taken.merge(more),
            None => self.taken = Some(more),
        }
    }
}

/// A complete response that was not taken yet.
struct HeldResponse {
    content: BodyBuffer,
    _taken: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldResponse {
    fn as_ref(&self) -> &[u8] {
        self.content.as_ref()
    }
}
