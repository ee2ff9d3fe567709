//! Relay of response frames: delivers each token exactly once and in order, up to the end frame.
//!
//! Performs no I/O. The daemon and the simulator pass in frames and closed connections.

use railtack_backend_api::{StreamEnd, StreamFrame};
use railtack_core::AttemptId;

/// Whether a complete response needs an end frame.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndMarker {
    /// A stream without an end frame was truncated.
    #[default]
    Required,
    /// A closed connection completes the response. Used only by mutation tests of the simulator.
    Ignored,
}

/// Action for a received frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameAction {
    /// Send the text to the caller.
    Deliver(String),
    /// Drop a late or duplicate frame, or one of another attempt.
    Drop,
    /// Earlier frames are missing: resume the stream at the first undelivered token.
    Gap,
    /// The response is complete.
    Complete(StreamEnd),
}

/// Progress of one response over all attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    delivered: u32,
    max_tokens: u32,
    attempt: AttemptId,
    end_marker: EndMarker,
}

impl Relay {
    /// Creates the relay of a response of at most `max_tokens` tokens.
    pub fn new(max_tokens: u32, end_marker: EndMarker) -> Self {
        Self {
            delivered: 0,
            max_tokens,
            attempt: AttemptId::default(),
            end_marker,
        }
    }

    /// Starts an attempt. Frames of earlier attempts are dropped from now on.
    pub fn begin(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
    }

    /// Number of tokens delivered to the caller.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Handles a frame. Invariant: exactly the first `delivered` tokens were delivered, in order.
    pub fn accept(&mut self, frame: StreamFrame) -> FrameAction {
        if frame.attempt.0 != self.attempt.0 || frame.sequence < self.delivered {
            return FrameAction::Drop;
        }
        if frame.sequence > self.delivered {
            return FrameAction::Gap;
        }
        if let Some(end) = frame.end {
            return FrameAction::Complete(end);
        }
        self.delivered += 1;
        FrameAction::Deliver(frame.text)
    }

    /// Whether the response is complete although the connection closed without an end frame. This is
    /// so once `max_tokens` tokens were delivered; a further attempt would exceed them.
    pub fn is_complete_on_close(&self) -> bool {
        self.delivered >= self.max_tokens || self.end_marker == EndMarker::Ignored
    }

    /// Returns the end of a response that completed without an end frame.
    pub fn implied_end(&self, prompt_tokens: u32) -> StreamEnd {
        StreamEnd {
            tokens: self.delivered,
            prompt_tokens,
            cached_tokens: 0,
        }
    }
}
