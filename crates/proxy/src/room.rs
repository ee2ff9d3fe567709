//! Requests that a router may have open at a replica that withstands few rejections. Pure.
//!
//! A replica that has to reject more requests in a second than it withstands crashes. While it says so, all
//! routers together send it no more than it runs at once, so that none has to be rejected for want of room.

/// Open requests of one router at a replica, and the prompt tokens that they do not share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Number of requests.
    pub requests: u32,
    /// Unshared prompt tokens.
    pub tokens: u64,
}

impl Room {
    /// Returns one router's part of what a replica runs at once. A part is one request at least.
    pub fn of_one_router(slots: u32, capacity_tokens: u64, routers: u32) -> Self {
        let routers = routers.max(1);
        Self {
            requests: (slots / routers).max(1),
            tokens: capacity_tokens / u64::from(routers),
        }
    }

    /// Whether a further request with `tokens` fits beside those that are `open`. A first one always does.
    pub fn fits(self, open: Self, tokens: u64) -> bool {
        if open.requests == 0 {
            return true;
        }
        // Replicas of services without an engine have no capacity for tokens.
        let has_memory = self.tokens == 0 || open.tokens + tokens <= self.tokens;
        open.requests < self.requests && has_memory
    }
}
