//! Taking a part of a tenant's quota from the leading control replica, before a request is sent.
//!
//! A router holds no part of a quota itself: one of many sees too few of a tenant's requests to use
//! what it would hold. A question takes a round trip to the leader. Without an answer the request is
//! refused: nobody else knows what other routers have used.

use std::time::Duration;

use railtack_clock::BootInstant;
use railtack_rpc::{
    call_context,
    serving::{GRANT_TTL, QuotaReply, QuotaRequest, QuotaSubject},
};
use tokio::time::{Instant, sleep};

use crate::{
    admission::Admitted, refusal::RefusalReason, request::ProxiedRequest, state::ProxyState,
};

/// Time for one question; a leader that is gone must not take all of a request's time.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before another control replica is asked, while a leader is being elected.
const ASK_PAUSE: Duration = Duration::from_millis(30);
/// Part of the objective, as a divisor, for which a request may wait for its part of the quota: the
/// rest is needed for its answer.
const WAIT_DIVISOR: u32 = 8;
/// Part of the objective, as a divisor, from which on a request is late anyway, as after a restart.
const LATE_DIVISOR: u32 = 2;
/// Part of the time left, as a divisor, for which a request that is late anyway may wait. All that
/// waited for the same leader come at once then; those that are refused have mostly spent their
/// retry.
const LATE_WAIT_DIVISOR: u32 = 4;
/// Part of the objective, as a divisor, in which a leader must have been found.
const SEARCH_DIVISOR: u32 = 2;
/// Shortest time in which one must have been found.
const SHORTEST_SEARCH: Duration = Duration::from_millis(200);

/// Why a request has no part of its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// What the caller is told.
    pub reason: RefusalReason,
    /// When it should come back.
    pub retry_after: Option<Duration>,
}

/// Takes the part of its tenant's quota that an admitted request needs; at once if the tenant has
/// no limit.
pub async fn take(
    state: &ProxyState,
    request: &ProxiedRequest,
    admitted: &Admitted,
) -> Result<(), QuotaRefusal> {
    let (Some(tenant), true) = (&admitted.tenant, admitted.has_quota) else {
        return Ok(());
    };
    let objective = Duration::from_millis(admitted.route.objective_ms);
    let search = (objective / SEARCH_DIVISOR).max(SHORTEST_SEARCH);
    let until = (Instant::now() + search).min(admitted.deadline);
    let wait = longest_wait(request.received, admitted.deadline, objective);
    let question = QuotaRequest {
        subject: QuotaSubject::Tenant {
            name: tenant.clone(),
        },
        declared_tokens: request.stated_tokens,
        longest_wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    };
    loop {
        match ask(state, &question, until).await {
            Asked::Granted => return Ok(()),
            Asked::Refused(retry_after) => {
                return Err(QuotaRefusal {
                    reason: RefusalReason::QuotaUsed,
                    retry_after: Some(retry_after),
                });
            }
            Asked::Unanswered => {
                if Instant::now() + ASK_PAUSE >= until {
                    state.metrics.quota_unanswered.inc();
                    return Err(QuotaRefusal {
                        reason: RefusalReason::QuotaUnknown,
                        retry_after: Some(search),
                    });
                }
                sleep(ASK_PAUSE).await;
            }
        }
    }
}

/// Borrows a retry from the leader for a request to `service`; false if none is lent, or no leader answers
/// soon. A router of hundreds has less than one retry of its own in a window.
pub async fn borrow_retry(state: &ProxyState, service: &str, objective: Duration) -> bool {
    // Asking again would only hold the request.
    if !state.control_peers.grants() {
        return false;
    }
    let until = Instant::now() + objective / WAIT_DIVISOR;
    let question = QuotaRequest {
        subject: QuotaSubject::Retries {
            service: service.to_owned(),
        },
        declared_tokens: None,
        longest_wait_ms: 0,
    };
    loop {
        match ask(state, &question, until).await {
            Asked::Granted => return true,
            Asked::Refused(_) => return false,
            Asked::Unanswered if Instant::now() + ASK_PAUSE >= until => return false,
            Asked::Unanswered => sleep(ASK_PAUSE).await,
        }
    }
}

/// How long a request may wait for its part of the quota.
fn longest_wait(received: Instant, deadline: Instant, objective: Duration) -> Duration {
    let now = Instant::now();
    if now.saturating_duration_since(received) < objective / LATE_DIVISOR {
        objective / WAIT_DIVISOR
    } else {
        deadline.saturating_duration_since(now) / LATE_WAIT_DIVISOR
    }
}

enum Asked {
    Granted,
    Refused(Duration),
    Unanswered,
}

/// One question to the replica that is believed to lead.
async fn ask(state: &ProxyState, question: &QuotaRequest, until: Instant) -> Asked {
    let asked_at = BootInstant::now();
    let limit = ASK_TIMEOUT.min(until.saturating_duration_since(Instant::now()));
    let sent = question.clone();
    let answered = state
        .control_peers
        .ask("quota", |client| async move {
            client.take_quota(call_context(limit), sent).await
        })
        .await;
    let Some((reply, asked)) = answered else {
        return Asked::Unanswered;
    };
    match reply {
        QuotaReply::Granted { wait_ms } => {
            state.control_peers.leads(asked);
            wait_for_part(asked_at, wait_ms).await
        }
        QuotaReply::Refused {
            retry_after_ms,
            rate_per_s,
            level,
            term,
        } => {
            spdlog::info!("quota used up", kv: {
                subject = format!("{:?}", question.subject),
                stated_tokens = question.declared_tokens.unwrap_or_default(),
                rate_per_s,
                level,
                // Whose ledger it is, and how old its answer.
                leader = asked.to_string(),
                term,
                age_ms = asked_at.elapsed().as_millis() as u64,
                retry_after_ms,
            });
            Asked::Refused(Duration::from_millis(u64::from(retry_after_ms)))
        }
        QuotaReply::NotLeader { leader } => {
            state.control_peers.follow(asked, leader);
            Asked::Unanswered
        }
    }
}

/// Waits until what was granted is there. What is used later than its life is not covered by the
/// ledger, so it is asked for anew.
async fn wait_for_part(asked_at: BootInstant, wait_ms: u32) -> Asked {
    let wait = Duration::from_millis(u64::from(wait_ms));
    sleep(wait).await;
    if asked_at.elapsed() <= wait + GRANT_TTL {
        Asked::Granted
    } else {
        Asked::Unanswered
    }
}
