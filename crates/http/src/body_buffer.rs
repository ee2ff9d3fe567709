//! Growing buffer of one body.
//!
//! Every chunk is copied into one buffer, so that a body costs what its size costs however it is cut into chunks. A
//! large body lies in a mapping of its own: pages that were not written take no memory, growing copies nothing, and
//! all of it goes back to the system at once.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use memmap2::MmapMut;

use crate::errors::ReceiveError;

/// Largest body that lies on the heap, bytes.
const MAX_HEAP_BYTES: usize = 64 * 1024;
/// Step in which the memory of a large body is counted, bytes.
const STEP_BYTES: usize = 64 * 1024;

/// The system has no memory for the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocationFailed;

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Mapped { map: MmapMut, length: usize },
}

/// Buffer of one body.
#[derive(Debug)]
pub struct BodyBuffer {
    storage: Storage,
    max_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            storage: Storage::Heap(Vec::new()),
            max_bytes,
        }
    }

    /// Number of bytes received.
    pub fn len(&self) -> usize {
        match &self.storage {
            Storage::Heap(content) => content.len(),
            Storage::Mapped { length, .. } => *length,
        }
    }

    /// Whether no byte was received.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the buffer takes, bytes.
    pub fn allocated(&self) -> usize {
        match &self.storage {
            Storage::Heap(content) => content.capacity(),
            Storage::Mapped { length, .. } => self.steps(*length),
        }
    }

    /// Returns the memory that the buffer takes once `additional` bytes are added.
    pub fn allocated_with(&self, additional: usize) -> usize {
        let needed = self.len() + additional;
        if needed <= self.allocated() {
            return self.allocated();
        }
        if needed > MAX_HEAP_BYTES {
            return self.steps(needed);
        }
        let doubled = (2 * self.allocated()).min(MAX_HEAP_BYTES);
        needed.max(doubled.min(self.max_bytes))
    }

    /// Adds bytes of the body, at most up to the maximum size in all.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), AllocationFailed> {
        let allocated = self.allocated_with(bytes.len());
        if self.len() + bytes.len() > MAX_HEAP_BYTES {
            return self.extend_mapped(bytes);
        }
        if let Storage::Heap(content) = &mut self.storage {
            content.reserve_exact(allocated - content.len());
            content.extend_from_slice(bytes);
        }
        Ok(())
    }

    /// Receives the rest of a body of at most `limit` bytes. Before the buffer takes more memory, calls `reserve` with the
    /// bytes that it then takes.
    pub async fn fill<B>(
        &mut self,
        body: &mut B,
        limit: usize,
        reserve: impl Fn(usize) -> Result<(), ReceiveError>,
    ) -> Result<(), ReceiveError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReceiveError::ConnectionLost)?;
            let Ok(data) = frame.into_data() else {
                // Trailers are not used.
                continue;
            };
            if self.len() + data.len() > limit {
                return Err(ReceiveError::TooLarge { limit });
            }
            let allocated = self.allocated_with(data.len());
            if allocated > self.allocated() {
                reserve(allocated)?;
            }
            self.extend(&data)
                .map_err(|AllocationFailed| ReceiveError::NoRoom)?;
        }
        Ok(())
    }

    fn extend_mapped(&mut self, bytes: &[u8]) -> Result<(), AllocationFailed> {
        if let Storage::Heap(content) = &self.storage {
            let map = MmapMut::map_anon(self.max_bytes).map_err(|_| AllocationFailed)?;
            let mut mapped = Storage::Mapped { map, length: 0 };
            append(&mut mapped, content)?;
            self.storage = mapped;
        }
        append(&mut self.storage, bytes)
    }

    /// Returns the content.
    pub fn into_bytes(self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }

    /// Bytes of a mapping of which `length` bytes were written.
    fn steps(&self, length: usize) -> usize {
        length.next_multiple_of(STEP_BYTES)
    }
}

fn append(storage: &mut Storage, bytes: &[u8]) -> Result<(), AllocationFailed> {
    let Storage::Mapped { map, length } = storage else {
        return Err(AllocationFailed);
    };
    let end = *length + bytes.len();
    let target = map.get_mut(*length..end).ok_or(AllocationFailed)?;
    target.copy_from_slice(bytes);
    *length = end;
    Ok(())
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(content) => content,
            Storage::Mapped { map, length } => map.get(..*length).unwrap_or_default(),
        }
    }
}
