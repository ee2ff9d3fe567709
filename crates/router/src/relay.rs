//! Which frames of an answer reach the caller: each token once, in order, up to the explicit end.
//!
//! Pure: the daemon and the simulator feed it frames and closed connections.

use railtack_backend_api::{StreamEnd, StreamFrame};
use railtack_core::AttemptId;

/// Whether an answer ends only by an explicit mark.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndMarker {
    /// A stream without the mark was cut.
    #[default]
    Required,
    /// A closed connection counts as an end. Only in a deliberately broken build.
    Ignored,
}

/// What to do with a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameAction {
    /// Hand the text to the caller.
    Deliver(String),
    /// Late, repeated or of another attempt: drop it.
    Drop,
    /// Frames are missing before it: ask again from where the caller is.
    Gap,
    /// The answer is whole.
    Complete(StreamEnd),
}

/// Progress of one answer over all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    delivered: u32,
    max_tokens: u32,
    attempt: AttemptId,
    end_marker: EndMarker,
}

impl Relay {
    /// An answer of `max_tokens` tokens of which nothing was delivered.
    pub fn new(max_tokens: u32, end_marker: EndMarker) -> Self {
        Self {
            delivered: 0,
            max_tokens,
            attempt: AttemptId::default(),
            end_marker,
        }
    }

    /// Begins an attempt; frames of earlier attempts are dropped from now on.
    pub fn begin(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
    }

    /// Tokens handed to the caller.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Takes a frame. Invariant: `delivered` tokens went out, in order, without a hole.
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

    /// Whether the answer is whole although its connection closed without an end mark: every
    /// token that it may have was delivered. Asking for more would make it too long.
    pub fn is_complete_on_close(&self) -> bool {
        self.delivered >= self.max_tokens || self.end_marker == EndMarker::Ignored
    }

    /// The end of an answer whose engine could not tell it any more.
    pub fn implied_end(&self, prompt_tokens: u32) -> StreamEnd {
        StreamEnd {
            tokens: self.delivered,
            prompt_tokens,
            cached_tokens: 0,
        }
    }
}
