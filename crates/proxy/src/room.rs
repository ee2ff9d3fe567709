//! Requests that a router may have open at a replica that withstands few rejections, while no leader leases slots. Pure.
//!
//! Each router keeps to a part of what the replica runs at once. With more routers than slots, most have none.

/// Open requests of one router at a replica, and the prompt tokens that they do not share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Number of requests.
    pub requests: u32,
    /// Unshared prompt tokens.
    pub tokens: u64,
}

impl Room {
    /// Returns one router's part of what a replica runs at once. `draw` decides which routers have one of the slots that
    /// remain when all have as many; it differs among routers and replicas.
    pub fn of_one_router(slots: u32, capacity_tokens: u64, routers: u32, draw: u32) -> Self {
        let routers = routers.max(1);
        let has_remaining_slot = draw % routers < slots % routers;
        Self {
            requests: slots / routers + u32::from(has_remaining_slot),
            tokens: capacity_tokens / u64::from(routers),
        }
    }

    /// Whether a further request with `tokens` fits beside those that are `open`. A first one may be of any size.
    pub fn fits(self, open: Self, tokens: u64) -> bool {
        if open.requests >= self.requests {
            return false;
        }
        // Replicas of services without an engine have no capacity for tokens.
        open.requests == 0 || self.tokens == 0 || open.tokens + tokens <= self.tokens
    }
}
