//! Availability that back ends advertise in their responses, as received by one process.
//!
//! This state is kept apart from the failures that requests meet at a back end: a successful request, an
//! update of the replica list or a disabled mechanism does not clear it. A back-off holds for the requested
//! time, leaving holds for the rest of the incarnation, and a limit holds until the control group knows that
//! it was lifted.
//!
//! It is checked directly before anything is sent to a back end: by routers on both interfaces, and by the
//! control replicas that give orders.

use std::{collections::HashMap, time::Duration};

use crate::limit::{RequestLimit, StatedLimit};

/// Time since a fixed start, which is the same for all calls on one table.
pub type Moment = Duration;

/// Time for which a leaving state or a limit is kept after it was last received. A leaving back end serves
/// for many seconds and then exits.
const RETENTION: Duration = Duration::from_secs(300);

/// What the head of one response says about the back end itself, independent of the outcome of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackEndNotice {
    /// Time for which the back end wants no requests from this process.
    pub back_off: Option<Duration>,
    /// Whether the back end is leaving and must get no more requests.
    pub is_leaving: bool,
    /// Limit on requests per second from all routers together.
    pub limit: StatedLimit,
}

/// What a response changed in the state of a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Whether the back end started to leave.
    pub leaves: bool,
    /// The new limit, if it differs from the former one.
    pub limit: Option<RequestLimit>,
}

/// A limit that a back end advertised to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedLimit {
    /// The limit.
    pub limit: RequestLimit,
    /// When it was last received.
    pub named_at: Moment,
}

/// State that one back end advertised.
#[derive(Clone, Copy, Debug, Default)]
pub struct Announced {
    /// End of the requested back-off.
    backs_off_until: Moment,
    /// When it last announced that it is leaving.
    left_at: Option<Moment>,
    limit: Option<NamedLimit>,
    /// Earliest time at which the limit admits a request from this router.
    room_at: Moment,
    /// The limit that `room_at` follows from.
    full_limit: Option<RequestLimit>,
}

impl Announced {
    /// Applies the notice of a response.
    pub fn note(&mut self, notice: BackEndNotice, now: Moment) -> News {
        if let Some(time) = notice.back_off {
            let until = now.saturating_add(time);
            self.backs_off_until = until.max(self.backs_off_until);
        }
        let leaves = notice.is_leaving && self.left_at.is_none();
        if notice.is_leaving {
            self.left_at = Some(now);
        }
        let mut news = News {
            leaves,
            limit: None,
        };
        if let StatedLimit::Named(limit) = notice.limit {
            let known = self.limit.map(|known| known.limit);
            news.limit = Some(limit).filter(|limit| known != Some(*limit));
            self.limit = Some(NamedLimit {
                limit,
                named_at: now,
            });
        }
        news
    }

    /// Time until the back end accepts requests; `None` if it is leaving.
    pub fn opens_in(&self, now: Moment) -> Option<Duration> {
        if self.left_at.is_some() {
            return None;
        }
        Some(self.backs_off_until.max(self.room_at).saturating_sub(now))
    }

    /// Whether the back end accepts requests.
    pub fn takes(&self, now: Moment) -> bool {
        self.opens_in(now) == Some(Duration::ZERO)
    }

    /// The advertised limit.
    pub fn limit(&self) -> Option<NamedLimit> {
        self.limit
    }

    /// Records that `limit` admits no request from this router before `room_at`.
    pub fn has_room_at(&mut self, limit: RequestLimit, room_at: Moment) {
        self.room_at = self.room_at.max(room_at);
        self.full_limit = Some(limit);
    }

    /// Removes the limit unless it was received after `named_at`.
    pub fn limit_is_over(&mut self, named_at: Moment) {
        self.limit = self.limit.filter(|known| known.named_at > named_at);
    }

    fn is_relevant(&self, now: Moment) -> bool {
        let is_recent = |at: Moment| now < at + RETENTION;
        let leaves = self.left_at.is_some_and(is_recent);
        let has_limit = self.limit.is_some_and(|known| is_recent(known.named_at));
        leaves || has_limit || now < self.backs_off_until.max(self.room_at)
    }
}

/// Advertised state of back ends, by the ids of their incarnations.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    back_ends: HashMap<String, Announced>,
}

impl Availability {
    /// Applies the notice of a response from a back end.
    pub fn note(&mut self, life: &str, notice: BackEndNotice, now: Moment) -> News {
        let is_empty = notice.back_off.is_none()
            && !notice.is_leaving
            && !matches!(notice.limit, StatedLimit::Named(_));
        if is_empty {
            return News::default();
        }
        let back_end = self.back_ends.entry(life.to_owned()).or_default();
        back_end.note(notice, now)
    }

    /// Returns the state of a back end, which is added if it is missing.
    pub fn of(&mut self, life: &str) -> &mut Announced {
        self.back_ends.entry(life.to_owned()).or_default()
    }

    /// Whether a back end accepts requests.
    pub fn takes(&self, life: &str, now: Moment) -> bool {
        self.back_ends
            .get(life)
            .is_none_or(|back_end| back_end.takes(now))
    }

    /// Time until a back end accepts requests; `None` if it is leaving.
    pub fn opens_in(&self, life: &str, now: Moment) -> Option<Duration> {
        let back_end = self.back_ends.get(life);
        back_end.map_or(Some(Duration::ZERO), |back_end| back_end.opens_in(now))
    }

    /// The limit that a back end advertises.
    pub fn limit(&self, life: &str) -> Option<NamedLimit> {
        self.back_ends.get(life)?.limit
    }

    /// All limits, with the ids of the back ends.
    pub fn limits(&self) -> impl Iterator<Item = (&str, NamedLimit)> {
        let limited = self.back_ends.iter();
        limited.filter_map(|(life, back_end)| Some((life.as_str(), back_end.limit?)))
    }

    /// Records that `limit` admits no request from this router before `room_at`.
    pub fn has_room_at(&mut self, life: &str, limit: RequestLimit, room_at: Moment) {
        let back_end = self.back_ends.entry(life.to_owned()).or_default();
        back_end.has_room_at(limit, room_at);
    }

    /// The limit because of which a back end accepts no requests at present.
    pub fn full_limit(&self, life: &str, now: Moment) -> Option<RequestLimit> {
        let back_end = self.back_ends.get(life)?;
        back_end.full_limit.filter(|_| now < back_end.room_at)
    }

    /// Removes the limit of a back end unless it was received after `named_at`.
    pub fn limit_is_over(&mut self, life: &str, named_at: Moment) {
        if let Some(back_end) = self.back_ends.get_mut(life) {
            back_end.limit_is_over(named_at);
        }
    }

    /// Removes expired state.
    pub fn forget_past(&mut self, now: Moment) {
        self.back_ends
            .retain(|_, back_end| back_end.is_relevant(now));
    }
}
