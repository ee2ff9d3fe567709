//! The term that this control replica leads, and since when. Pure.

use tokio::time::Instant;

/// Since when this control replica leads without a break. What it hears of replicas before that is incomplete.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeadingTerm(Option<(u64, Instant)>);

impl LeadingTerm {
    /// Records that this control replica leads `term`. Returns whether that is another term than before.
    pub fn mark_leading(&mut self, term: u64, now: Instant) -> bool {
        let is_new = self.0.is_none_or(|(known, _)| known != term);
        if is_new {
            self.0 = Some((term, now));
        }
        is_new
    }

    /// Records that this control replica does not lead.
    pub fn mark_following(&mut self) {
        self.0 = None;
    }

    /// Returns since when it leads; `None` if it does not.
    pub fn since(&self) -> Option<Instant> {
        self.0.map(|(_, since)| since)
    }
}
