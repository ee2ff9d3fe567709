//! What the machine of this process offers, and how it is divided among those who call.
//!
//! A limit of one connection bounds nothing if nobody counts the connections. The shares here add up to less than the
//! machine, whoever calls and however often; the rest is left to the process itself.

/// Bytes in a megabyte.
const MEGABYTE: usize = 1024 * 1024;
/// Part of the memory that bodies of requests may take: one in this many.
const BODIES_DIVISOR: usize = 5;
/// Part of the memory that complete responses may take: one in this many.
const RESPONSES_DIVISOR: usize = 5;
/// Part of the memory that connections may take: one in this many.
const CONNECTIONS_DIVISOR: usize = 4;
/// Memory of one connection with a request, bytes: the buffers for reading and writing, the head and the task.
const CONNECTION_BYTES: usize = 48 * 1024;
/// Descriptors that are no sockets: files, and what the runtime needs.
const RESERVED_DESCRIPTORS: usize = 200;
/// Sockets for callers, of this many. The others are for back ends, peers and probes.
const CALLERS_SHARE: (usize, usize) = (2, 5);
/// Sockets of a control replica for back ends and operators, of this many.
const CONTROL_SHARE: (usize, usize) = (4, 5);
/// Part of the memory of a control replica that these connections may take: one in this many.
const CONTROL_CONNECTIONS_DIVISOR: usize = 2;
/// Sockets for probes: one in this many.
const PROBES_DIVISOR: usize = 32;
/// Fewest connections that a listener accepts.
const MIN_CONNECTIONS: usize = 8;
/// Most connections for probes of readiness and metrics.
const MAX_PROBES: usize = 64;

/// Memory and descriptors that this process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory, bytes.
    pub memory_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Machine {
    /// A machine with this much memory, in megabytes, and this many descriptors.
    pub fn new(memory_mb: usize, descriptors: usize) -> Self {
        Self {
            memory_bytes: memory_mb.saturating_mul(MEGABYTE),
            descriptors,
        }
    }

    /// Memory for the bodies of all requests, bytes.
    pub fn body_bytes(self) -> usize {
        self.memory_bytes / BODIES_DIVISOR
    }

    /// Memory for all responses that are received completely before they are forwarded, bytes.
    pub fn response_bytes(self) -> usize {
        self.memory_bytes / RESPONSES_DIVISOR
    }

    /// Connections of callers at a router, which needs as many to back ends.
    pub fn connections(self) -> usize {
        self.share(CALLERS_SHARE, CONNECTIONS_DIVISOR)
    }

    /// Connections of back ends and operators at a control replica.
    pub fn control_connections(self) -> usize {
        self.share(CONTROL_SHARE, CONTROL_CONNECTIONS_DIVISOR)
    }

    fn share(self, (part, whole): (usize, usize), memory_divisor: usize) -> usize {
        let by_descriptors = self.sockets() / whole * part;
        let by_memory = self.memory_bytes / memory_divisor / CONNECTION_BYTES;
        by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
    }

    /// Connections of an endpoint for probes, such as readiness and metrics.
    pub fn probe_connections(self) -> usize {
        let share = self.sockets() / PROBES_DIVISOR;
        share.clamp(MIN_CONNECTIONS, MAX_PROBES)
    }

    fn sockets(self) -> usize {
        self.descriptors.saturating_sub(RESERVED_DESCRIPTORS)
    }
}
