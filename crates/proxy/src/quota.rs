//! Acquires quota grants from the leading control replica before a request is sent.
//!
//! Routers hold no local share of a quota, because one of many sees too few requests of a tenant to
//! use it up. A grant takes one round trip to the leader. Without a reply the request is refused:
//! only the leader knows how much of the quota is in use.

use std::time::Duration;

use railtack_clock::BootInstant;
use railtack_rpc::{
    FeatureLevel, call_context,
    serving::{
        GRANT_TTL, GRANT_WAIT_DIVISOR, QuotaReply, QuotaRequest, QuotaSubject, QuotaUrgency,
    },
};
use railtack_serving::{ContentKey, Policy};
use tokio::time::{Instant, sleep};

use crate::{
    admission::Admitted,
    refusal::{Refusal, RefusalReason},
    request::ProxiedRequest,
    state::ProxyState,
};

/// Timeout of one call; a failed leader must not use up the request's time.
const GRANT_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between calls while a leader is being elected.
const GRANT_RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// Divisor of the objective after which a request counts as late, for example after a restart.
const LATE_DIVISOR: u32 = 2;
/// Divisor of the remaining time that gives the longest wait of a late request. Late requests reach
/// the leader in a burst, and most of them have already used their retry.
const LATE_MAX_WAIT_DIVISOR: u32 = 4;
/// Divisor of the objective that gives the time to find a leader.
const LEADER_SEARCH_DIVISOR: u32 = 2;
/// Minimum time to find a leader.
const MIN_LEADER_SEARCH: Duration = Duration::from_millis(200);

/// Acquires the quota grant for one more run of a request. Its caller is not told a time to return, so
/// no capacity is set aside for it.
pub async fn acquire_for_retry(
    state: &ProxyState,
    request: &ProxiedRequest,
    admitted: &Admitted,
) -> bool {
    acquire(state, request, admitted, ContentKey::default())
        .await
        .is_ok()
}

/// Acquires the quota grant of an admitted request; returns at once if its tenant has no quota. If it is
/// refused, `content` identifies it when its caller returns.
pub async fn acquire(
    state: &ProxyState,
    request: &ProxiedRequest,
    admitted: &Admitted,
    content: ContentKey,
) -> Result<(), Refusal> {
    let (Some(tenant), true) = (&admitted.tenant, admitted.has_quota) else {
        return Ok(());
    };
    let objective = Duration::from_millis(admitted.route.objective_ms);
    let search_time = (objective / LEADER_SEARCH_DIVISOR).max(MIN_LEADER_SEARCH);
    let until = (Instant::now() + search_time).min(admitted.deadline);
    let wait = max_wait(request.received, admitted.deadline, objective);
    let mut grant_request = QuotaRequest {
        subject: QuotaSubject::Tenant {
            name: tenant.clone(),
        },
        declared_tokens: request.declared_tokens,
        max_wait_ms: milliseconds(wait),
        urgency: None,
    };
    loop {
        grant_request.urgency = urgency(state, admitted, content);
        match request_grant(state, &grant_request, until).await {
            GrantOutcome::Granted => return Ok(()),
            GrantOutcome::Refused(retry_after) => {
                return Err(Refusal {
                    reason: RefusalReason::QuotaUsed,
                    retry_after: Some(retry_after),
                });
            }
            GrantOutcome::Unanswered => {
                if Instant::now() + GRANT_RETRY_INTERVAL >= until {
                    state.metrics.quota_unanswered.inc();
                    return Err(Refusal {
                        reason: RefusalReason::QuotaUnknown,
                        retry_after: Some(search_time),
                    });
                }
                sleep(GRANT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Acquires a shared retry for `service` from the leader; returns false if it is denied or no leader
/// replies in time. In a large fleet a router has less than one local retry per window.
pub async fn acquire_shared_retry(state: &ProxyState, service: &str, objective: Duration) -> bool {
    // The group does not support grants, so a call could only delay the request.
    if !state.control_peers.supports_grants() {
        return false;
    }
    let until = Instant::now() + objective / GRANT_WAIT_DIVISOR;
    let grant_request = QuotaRequest {
        subject: QuotaSubject::Retries {
            service: service.to_owned(),
        },
        declared_tokens: None,
        max_wait_ms: 0,
        urgency: None,
    };
    loop {
        match request_grant(state, &grant_request, until).await {
            GrantOutcome::Granted => return true,
            GrantOutcome::Refused(_) => return false,
            GrantOutcome::Unanswered if Instant::now() + GRANT_RETRY_INTERVAL >= until => {
                return false;
            }
            GrantOutcome::Unanswered => sleep(GRANT_RETRY_INTERVAL).await,
        }
    }
}

/// Returns the urgency to state to the leader; `None` if the group does not read it.
fn urgency(state: &ProxyState, admitted: &Admitted, content: ContentKey) -> Option<QuotaUrgency> {
    let urgency = QuotaUrgency {
        priority: admitted.priority,
        objective_ms: milliseconds(Duration::from_millis(admitted.route.objective_ms)),
        time_left_ms: milliseconds(admitted.deadline.saturating_duration_since(Instant::now())),
        content,
    };
    stated_urgency(state.options.policy, state.control_peers.level(), urgency)
}

/// Returns the part of a request's urgency that the switches and the level of the group allow to state.
pub fn stated_urgency(
    policy: Policy,
    level: FeatureLevel,
    urgency: QuotaUrgency,
) -> Option<QuotaUrgency> {
    let is_read = level >= FeatureLevel::LOAD_REPORTS;
    let is_stated = is_read && (policy.quota_urgency || policy.kept_returns);
    is_stated.then(|| QuotaUrgency {
        // Without an objective, the leader does not distinguish kinds of requests.
        objective_ms: if policy.quota_urgency {
            urgency.objective_ms
        } else {
            0
        },
        content: if policy.kept_returns {
            urgency.content
        } else {
            ContentKey::default()
        },
        ..urgency
    })
}

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the longest time for which a request may wait for its grant.
fn max_wait(received: Instant, deadline: Instant, objective: Duration) -> Duration {
    let now = Instant::now();
    if now.saturating_duration_since(received) < objective / LATE_DIVISOR {
        objective / GRANT_WAIT_DIVISOR
    } else {
        deadline.saturating_duration_since(now) / LATE_MAX_WAIT_DIVISOR
    }
}

enum GrantOutcome {
    Granted,
    Refused(Duration),
    Unanswered,
}

/// Sends one grant request to the presumed leader.
async fn request_grant(
    state: &ProxyState,
    grant_request: &QuotaRequest,
    until: Instant,
) -> GrantOutcome {
    let requested_at = BootInstant::now();
    let timeout = GRANT_TIMEOUT.min(until.saturating_duration_since(Instant::now()));
    let sent = grant_request.clone();
    let response = state
        .control_peers
        .call("quota", |client| async move {
            client.take_quota(call_context(timeout), sent).await
        })
        .await;
    let Some((reply, address)) = response else {
        return GrantOutcome::Unanswered;
    };
    match reply {
        QuotaReply::Granted { wait_ms } => {
            state.control_peers.set_leader(address);
            wait_for_grant(requested_at, wait_ms).await
        }
        QuotaReply::Refused {
            retry_after_ms,
            rate_per_s,
            level,
            term,
        } => {
            let retry_after = Duration::from_millis(u64::from(retry_after_ms));
            let urgency = grant_request.urgency.as_ref();
            spdlog::info!("quota exhausted", kv: {
                subject = format!("{:?}", grant_request.subject),
                stated_tokens = grant_request.declared_tokens.unwrap_or_default(),
                rate_per_s,
                level,
                // The leader that refused, and the age of its reply.
                leader = address.to_string(),
                term,
                age_ms = requested_at.elapsed().as_millis() as u64,
                retry_after_ms,
                priority = urgency.map(|urgency| i32::from(urgency.priority)).unwrap_or(-1),
                // Whether the leader set capacity aside until then.
                is_promised = urgency.is_some_and(|urgency| urgency.is_promised(retry_after)),
            });
            GrantOutcome::Refused(retry_after)
        }
        QuotaReply::NotLeader { leader } => {
            state.control_peers.follow_redirect(address, leader);
            GrantOutcome::Unanswered
        }
    }
}

/// Waits until the grant becomes valid. A grant used after its validity is not covered by the
/// leader's ledger and has to be requested again.
async fn wait_for_grant(requested_at: BootInstant, wait_ms: u32) -> GrantOutcome {
    let wait = Duration::from_millis(u64::from(wait_ms));
    sleep(wait).await;
    if requested_at.elapsed() <= wait + GRANT_TTL {
        GrantOutcome::Granted
    } else {
        GrantOutcome::Unanswered
    }
}
