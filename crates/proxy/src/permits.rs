//! Permits for requests to back ends that advertise a rate limit for all routers together.
//!
//! A router that knows of a limit, from a response or from the fleet digest, requests a permit from
//! the leader right before it sends a request, and reports the limit with it. Permits are not kept:
//! one that is not used soon expires, so that a router that was suspended does not use it later.
//! Without a reply of a leader the request is not sent to that back end, since only the leader
//! knows the combined rate.

use std::{sync::Arc, time::Duration};

use railtack_clock::BootInstant;
use railtack_rpc::{
    permits::{LimitReport, PermitReply, PermitRequest, PermitStamp},
    serving::GRANT_TTL,
};
use railtack_serving::{AdvertisedLimit, LimitHeader, MonotonicTime, RequestLimit};
use tokio::time::sleep;

/// Maximum timeout of one permit request.
const MAX_PERMIT_REQUEST_TIME: Duration = Duration::from_millis(250);
/// Divisor of the objective that bounds the timeout of one permit request; other back ends may have
/// to be tried after it.
const PERMIT_REQUEST_DIVISOR: u32 = 8;
/// Pause in permit requests after one that got no reply. An election takes some hundred
/// milliseconds; requests use other back ends meanwhile.
const LEADER_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of one report of a limit to the leader.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Attempts to report a limit; the next permit request reports it too.
const REPORT_ATTEMPTS: u32 = 4;

/// Permission to send one request to a back end that advertises a limit, or the leader's
/// confirmation that the limit no longer exists, which digests may not reflect yet.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    requested_at: BootInstant,
    /// The limit and the identifier of the permit; `None` if there is no limit.
    grant: Option<(RequestLimit, PermitStamp)>,
}

impl Permit {
    fn is_fresh(&self) -> bool {
        self.requested_at.elapsed() <= GRANT_TTL
    }

    fn limit(&self) -> Option<RequestLimit> {
        self.grant.map(|(limit, _)| limit)
    }

    fn stamp(&self) -> Option<PermitStamp> {
        self.grant.map(|(_, stamp)| stamp)
    }
}

/// Result of a permit request.
#[derive(Clone, Copy, Debug)]
pub enum PermitDecision {
    /// The request may be sent. Holds a permit if the back end has, or recently had, a limit.
    Granted(Option<Permit>),
    /// The limit allows no request yet; the time at which it does was recorded.
    Denied,
}

/// What a router knows of a back end's limit.
#[derive(Clone, Copy, Debug)]
pub struct KnownLimit {
    /// The most recently advertised limit, to this router or to another.
    pub limit: RequestLimit,
    /// Time since it was advertised.
    pub age: Duration,
    /// The limit that the back end advertised to this router.
    pub advertised_here: Option<AdvertisedLimit>,
}

/// Access to a router's limits and to the leader, as needed for permits.
pub trait PermitClient: Send + Sync + 'static {
    /// Returns the time since the router started.
    fn uptime(&self) -> MonotonicTime;
    /// Returns the known limit of a back end; `None` if it has none.
    fn known_limit(&self, incarnation_id: &str) -> Option<KnownLimit>;
    /// Returns the end of the pause in permit requests after a call without a reply.
    fn permit_requests_suspended_until(&self) -> MonotonicTime;
    /// Pauses permit requests because no leader replied.
    fn suspend_permit_requests(&self, until: MonotonicTime);
    /// Records that a limit allows no request before `available_at`.
    fn record_denied(&self, incarnation_id: &str, limit: RequestLimit, available_at: MonotonicTime);
    /// Removes a limit that was last advertised to this router at `advertised_at` or earlier.
    fn clear_limit(&self, incarnation_id: &str, advertised_at: MonotonicTime);
    /// Calls the presumed leader; returns `None` without a reply.
    fn call_leader(
        &self,
        request: PermitRequest,
        timeout: Duration,
    ) -> impl Future<Output = Option<PermitReply>> + Send;
}

/// Whether the request needs a permit for this back end and has no valid one.
pub fn lacks_valid_permit(
    router: &impl PermitClient,
    incarnation_id: &str,
    permit: Option<Permit>,
) -> bool {
    match permit {
        Some(permit) => !permit.is_fresh(),
        None => router.known_limit(incarnation_id).is_some(),
    }
}

/// Requests a permit if the back end has a limit.
pub async fn acquire(
    router: &impl PermitClient,
    incarnation_id: &str,
    objective: Duration,
) -> PermitDecision {
    let Some(known) = router.known_limit(incarnation_id) else {
        return PermitDecision::Granted(None);
    };
    let deny = |limit: RequestLimit, retry_after: Duration| {
        spdlog::info!("permit denied", kv: {
            replica = incarnation_id.to_owned(),
            per_s = limit.requests_per_s(),
            room_in_ms = retry_after.as_millis() as u64,
        });
        router.record_denied(incarnation_id, limit, router.uptime() + retry_after);
        PermitDecision::Denied
    };
    if router.uptime() < router.permit_requests_suspended_until() {
        return deny(known.limit, LEADER_RETRY_PAUSE);
    }
    let requested_at = BootInstant::now();
    let request = PermitRequest {
        incarnation_id: incarnation_id.to_owned(),
        report: LimitReport {
            limit: Some(known.limit),
            age_ms: milliseconds(known.age),
            permit: None,
        },
        wants_permit: true,
    };
    let timeout = MAX_PERMIT_REQUEST_TIME.min(objective / PERMIT_REQUEST_DIVISOR);
    match router.call_leader(request, timeout).await {
        Some(PermitReply::Granted { limit, stamp }) => PermitDecision::Granted(Some(Permit {
            requested_at,
            grant: Some((limit, stamp)),
        })),
        Some(PermitReply::Denied {
            limit,
            retry_after_ms,
        }) => deny(limit, Duration::from_millis(u64::from(retry_after_ms))),
        Some(PermitReply::Unlimited) => {
            clear_limit(router, incarnation_id, known.advertised_here);
            let grant = None;
            PermitDecision::Granted(Some(Permit {
                requested_at,
                grant,
            }))
        }
        Some(PermitReply::NotLeader { .. }) | None => {
            router.suspend_permit_requests(router.uptime() + LEADER_RETRY_PAUSE);
            deny(known.limit, LEADER_RETRY_PAUSE)
        }
    }
}

/// Processes the limit advertised by a response and reports it to the leader if the leader may not
/// know it yet. `is_new` is true if the limit is new to this router.
pub fn handle_response<R: PermitClient>(
    router: &Arc<R>,
    incarnation_id: &str,
    permit: Option<Permit>,
    advertised: LimitHeader,
    is_new: bool,
) {
    let limit = match advertised {
        LimitHeader::Present(limit) => Some(limit),
        LimitHeader::Absent => None,
        LimitHeader::Invalid(_) => return,
    };
    let differs = permit.is_some_and(|permit| permit.limit() != limit);
    if !differs && !is_new {
        return;
    }
    let report = LimitReport {
        limit,
        age_ms: 0,
        permit: permit.and_then(|permit| permit.stamp()),
    };
    tokio::spawn(report_limit(
        Arc::clone(router),
        incarnation_id.to_owned(),
        report,
    ));
}

/// Reports a limit again that was advertised to this router. The leader may not know it, or may
/// reply that it no longer exists.
pub fn resend_limit<R: PermitClient>(
    router: &Arc<R>,
    incarnation_id: String,
    advertised: AdvertisedLimit,
) {
    let report = LimitReport {
        limit: Some(advertised.limit),
        age_ms: milliseconds(router.uptime().saturating_sub(advertised.advertised_at)),
        permit: None,
    };
    tokio::spawn(report_limit(Arc::clone(router), incarnation_id, report));
}

async fn report_limit<R: PermitClient>(
    router: Arc<R>,
    incarnation_id: String,
    report: LimitReport,
) {
    let started_at = router.uptime();
    let received_at = started_at.saturating_sub(Duration::from_millis(u64::from(report.age_ms)));
    for _ in 0..REPORT_ATTEMPTS {
        let request = PermitRequest {
            incarnation_id: incarnation_id.clone(),
            report: LimitReport {
                age_ms: milliseconds(router.uptime().saturating_sub(received_at)),
                ..report
            },
            wants_permit: false,
        };
        match router.call_leader(request, REPORT_TIMEOUT).await {
            Some(PermitReply::NotLeader { .. }) | None => sleep(LEADER_RETRY_PAUSE).await,
            Some(PermitReply::Unlimited) => {
                let advertised = router
                    .known_limit(&incarnation_id)
                    .and_then(|known| known.advertised_here);
                clear_limit(
                    &*router,
                    &incarnation_id,
                    advertised.filter(|advertised| advertised.advertised_at <= started_at),
                );
                return;
            }
            Some(_) => return,
        }
    }
}

/// Converts to whole milliseconds, rounding down. An age that is rounded up could make the leader
/// drop a limit too early.
fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn clear_limit(
    router: &impl PermitClient,
    incarnation_id: &str,
    advertised: Option<AdvertisedLimit>,
) {
    let Some(advertised) = advertised else {
        return;
    };
    spdlog::info!("rate limit removed", kv: {
        replica = incarnation_id.to_owned(),
        per_s = advertised.limit.requests_per_s(),
    });
    router.clear_limit(incarnation_id, advertised.advertised_at);
}
