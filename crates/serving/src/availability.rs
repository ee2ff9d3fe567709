//! Availability that back ends advertise in their responses, as received by one process.
//!
//! This state is kept apart from the failures that requests meet at a back end: a successful request, an
//! update of the replica list or a disabled mechanism does not clear it. A back-off holds for the requested
//! time, leaving holds for the rest of the incarnation, and a limit holds until the control group knows that
//! it was lifted. Kept with the failures, a back-off of three seconds ended after 120 ms, and the back end got
//! three to four requests from one router in it.
//!
//! It is checked directly before anything is sent to a back end: by routers on both interfaces, and by the
//! control replicas that give orders.

use std::{collections::HashMap, time::Duration};

use crate::limit::{LimitHeader, RequestLimit};

/// Time since a fixed start, which is the same for all calls on one table.
pub type MonotonicTime = Duration;

/// Time for which a leaving state or a limit is kept after it was last received. A leaving back end serves
/// for many seconds and then exits.
const RETENTION: Duration = Duration::from_secs(300);

/// What the head of one response says about the back end itself, independent of the outcome of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendSignals {
    /// Time for which the back end wants no requests from this process.
    pub back_off: Option<Duration>,
    /// Whether the back end is leaving and must get no more requests.
    pub is_leaving: bool,
    /// Limit on requests per second from all routers together.
    pub limit: LimitHeader,
    /// Rejections for want of room that the back end withstands in a second; `None` if any number.
    pub withstood_rejections: Option<u32>,
}

/// What a response changed in the state of a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalChanges {
    /// Whether the back end started to leave.
    pub is_leaving: bool,
    /// The new limit, if it differs from the former one.
    pub limit: Option<RequestLimit>,
}

/// A limit that a back end advertised to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdvertisedLimit {
    /// The limit.
    pub limit: RequestLimit,
    /// When it was last received.
    pub advertised_at: MonotonicTime,
}

/// State that one back end advertised.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdvertisedState {
    /// End of the requested back-off.
    back_off_until: MonotonicTime,
    /// When it last announced that it is leaving.
    leaving_at: Option<MonotonicTime>,
    limit: Option<AdvertisedLimit>,
    /// Earliest time at which the limit admits a request from this router.
    limited_until: MonotonicTime,
    /// The limit that `limited_until` follows from.
    exhausted_limit: Option<RequestLimit>,
}

impl AdvertisedState {
    /// Applies the signals of a response.
    pub fn record(&mut self, signals: BackendSignals, now: MonotonicTime) -> SignalChanges {
        if let Some(time) = signals.back_off {
            let until = now.saturating_add(time);
            self.back_off_until = until.max(self.back_off_until);
        }
        let is_leaving = signals.is_leaving && self.leaving_at.is_none();
        if signals.is_leaving {
            self.leaving_at = Some(now);
        }
        let mut changes = SignalChanges {
            is_leaving,
            limit: None,
        };
        if let LimitHeader::Present(limit) = signals.limit {
            let known = self.limit.map(|known| known.limit);
            changes.limit = Some(limit).filter(|limit| known != Some(*limit));
            self.limit = Some(AdvertisedLimit {
                limit,
                advertised_at: now,
            });
        }
        changes
    }

    /// Time until the back end accepts requests; `None` if it is leaving.
    pub fn available_in(&self, now: MonotonicTime) -> Option<Duration> {
        if self.leaving_at.is_some() {
            return None;
        }
        Some(
            self.back_off_until
                .max(self.limited_until)
                .saturating_sub(now),
        )
    }

    /// Whether the back end accepts requests.
    pub fn accepts_requests(&self, now: MonotonicTime) -> bool {
        self.available_in(now) == Some(Duration::ZERO)
    }

    /// The advertised limit.
    pub fn limit(&self) -> Option<AdvertisedLimit> {
        self.limit
    }

    /// Records that `limit` admits no request from this router before `limited_until`.
    pub fn set_limited_until(&mut self, limit: RequestLimit, limited_until: MonotonicTime) {
        self.limited_until = self.limited_until.max(limited_until);
        self.exhausted_limit = Some(limit);
    }

    /// Removes the limit unless it was received after `advertised_at`.
    pub fn clear_limit(&mut self, advertised_at: MonotonicTime) {
        self.limit = self
            .limit
            .filter(|known| known.advertised_at > advertised_at);
    }

    fn is_relevant(&self, now: MonotonicTime) -> bool {
        let is_recent = |at: MonotonicTime| now < at + RETENTION;
        let is_leaving = self.leaving_at.is_some_and(is_recent);
        let has_limit = self
            .limit
            .is_some_and(|known| is_recent(known.advertised_at));
        let is_unavailable = now < self.back_off_until.max(self.limited_until);
        is_leaving || has_limit || is_unavailable
    }
}

/// Advertised state of back ends, by the ids of their incarnations.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    backends: HashMap<String, AdvertisedState>,
}

impl Availability {
    /// Applies the signals of a response from a back end.
    pub fn record(
        &mut self,
        incarnation_id: &str,
        signals: BackendSignals,
        now: MonotonicTime,
    ) -> SignalChanges {
        let is_empty = signals.back_off.is_none()
            && !signals.is_leaving
            && !matches!(signals.limit, LimitHeader::Present(_));
        if is_empty {
            return SignalChanges::default();
        }
        let backend = self.backends.entry(incarnation_id.to_owned()).or_default();
        backend.record(signals, now)
    }

    /// Returns the state of a back end, which is added if it is missing.
    pub fn state_mut(&mut self, incarnation_id: &str) -> &mut AdvertisedState {
        self.backends.entry(incarnation_id.to_owned()).or_default()
    }

    /// Whether a back end accepts requests.
    pub fn accepts_requests(&self, incarnation_id: &str, now: MonotonicTime) -> bool {
        self.backends
            .get(incarnation_id)
            .is_none_or(|backend| backend.accepts_requests(now))
    }

    /// Time until a back end accepts requests; `None` if it is leaving.
    pub fn available_in(&self, incarnation_id: &str, now: MonotonicTime) -> Option<Duration> {
        let backend = self.backends.get(incarnation_id);
        backend.map_or(Some(Duration::ZERO), |backend| backend.available_in(now))
    }

    /// The limit that a back end advertises.
    pub fn limit(&self, incarnation_id: &str) -> Option<AdvertisedLimit> {
        self.backends.get(incarnation_id)?.limit
    }

    /// All limits, with the ids of the back ends.
    pub fn limits(&self) -> impl Iterator<Item = (&str, AdvertisedLimit)> {
        let limited = self.backends.iter();
        limited
            .filter_map(|(incarnation_id, backend)| Some((incarnation_id.as_str(), backend.limit?)))
    }

    /// Records that `limit` admits no request from this router before `limited_until`.
    pub fn set_limited_until(
        &mut self,
        incarnation_id: &str,
        limit: RequestLimit,
        limited_until: MonotonicTime,
    ) {
        let backend = self.backends.entry(incarnation_id.to_owned()).or_default();
        backend.set_limited_until(limit, limited_until);
    }

    /// The limit because of which a back end accepts no requests at present.
    pub fn exhausted_limit(
        &self,
        incarnation_id: &str,
        now: MonotonicTime,
    ) -> Option<RequestLimit> {
        let backend = self.backends.get(incarnation_id)?;
        backend
            .exhausted_limit
            .filter(|_| now < backend.limited_until)
    }

    /// Removes the limit of a back end unless it was received after `advertised_at`.
    pub fn clear_limit(&mut self, incarnation_id: &str, advertised_at: MonotonicTime) {
        if let Some(backend) = self.backends.get_mut(incarnation_id) {
            backend.clear_limit(advertised_at);
        }
    }

    /// Removes expired state.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        self.backends.retain(|_, backend| backend.is_relevant(now));
    }
}
