//! Permits for requests to replicas that name a limit over all routers together.
//!
//! A router that has heard of a limit, from an answer or from the digest of all routers, asks the leader for a
//! permit right before it sends a request there, and tells it what it heard. Nobody keeps permits: one that is not
//! used soon is void, so that a router which was frozen with one in hand does not send it later. Without an
//! answer of a leader nothing is sent there, as nobody else knows what others send.

use std::time::Duration;

use railtack_clock::BootInstant;
use railtack_rpc::{
    call_deadline,
    permits::{LimitStatement, PermitReply, PermitRequest, PermitStamp},
    serving::GRANT_LIFE,
};
use railtack_serving::{NamedLimit, ReplicaKey, RequestLimit, StatedLimit};
use tokio::time::Instant;

use crate::state::{ProxyState, lock};

/// Longest time for one question.
const LONGEST_ASK: Duration = Duration::from_millis(250);
/// Part of the objective, as a divisor, that one question may take: other replicas may be asked after it.
const ASK_DIVISOR: u32 = 8;
/// Time after an unanswered question in which no other is asked: a leader is elected in some hundreds of
/// milliseconds, and requests go to other replicas meanwhile.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(100);
/// Time for telling the leader what an answer said.
const TELL_TIMEOUT: Duration = Duration::from_millis(250);
/// Tries to tell it; the next question for a permit tells it too.
const TELL_TRIES: u32 = 4;
/// Time after a limit was heard in which the digest may not name it yet.
const DIGEST_LAG: Duration = Duration::from_secs(1);

/// The right to send one request to a replica that names a limit.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    asked_at: BootInstant,
    limit: RequestLimit,
    stamp: PermitStamp,
}

impl Permit {
    /// Whether it may still be used.
    fn is_fresh(&self) -> bool {
        self.asked_at.elapsed() <= GRANT_LIFE
    }
}

/// What became of a question for a permit.
#[derive(Clone, Copy, Debug)]
pub enum Permission {
    /// The request may be sent; with a permit, if the replica has a limit.
    Given(Option<Permit>),
    /// It may not, before a moment that was noted.
    Withheld,
}

/// What this router knows of a replica's limit.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    limit: RequestLimit,
    age: Duration,
    /// Set if the replica named it to this router.
    own: Option<NamedLimit>,
}

/// What was named last, to this router or to others.
fn known(state: &ProxyState, life: &str) -> Option<KnownLimit> {
    let own = lock(&state.replicas).availability.limit(life);
    let own = own.map(|own| KnownLimit {
        limit: own.limit,
        age: state.uptime().saturating_sub(own.named_at),
        own: Some(own),
    });
    let now = Instant::now();
    let told = lock(&state.fleet).limit(ReplicaKey::of(life), now);
    let told = told.map(|told| KnownLimit {
        limit: told.limit,
        age: now.saturating_duration_since(told.named_at),
        own: own.and_then(|own| own.own),
    });
    own.into_iter().chain(told).min_by_key(|known| known.age)
}

/// Whether a request lacks a permit to be sent to this replica now.
pub fn is_lacking(state: &ProxyState, life: &str, permit: Option<Permit>) -> bool {
    match permit {
        Some(permit) => !permit.is_fresh(),
        None => known(state, life).is_some(),
    }
}

/// Takes a permit for one request, if the replica has a limit.
pub async fn take(state: &ProxyState, life: &str, objective: Duration) -> Permission {
    let Some(known) = known(state, life) else {
        return Permission::Given(None);
    };
    if state.uptime() < *lock(&state.permits_unanswered_until) {
        return withheld(state, life, known.limit, UNANSWERED_PAUSE);
    }
    let asked_at = BootInstant::now();
    let question = PermitRequest {
        life: life.to_owned(),
        statement: statement(&known),
        wants_permit: true,
    };
    let limit = LONGEST_ASK.min(objective / ASK_DIVISOR);
    match ask(state, question, limit).await {
        Some(PermitReply::Given { limit, stamp }) => Permission::Given(Some(Permit {
            asked_at,
            limit,
            stamp,
        })),
        Some(PermitReply::Withheld { limit, room_in_ms }) => {
            let room_in = Duration::from_millis(u64::from(room_in_ms));
            withheld(state, life, limit, room_in)
        }
        Some(PermitReply::Unlimited) => {
            limit_is_over(state, life, known.own);
            Permission::Given(None)
        }
        Some(PermitReply::NotLeader { .. }) | None => {
            *lock(&state.permits_unanswered_until) = state.uptime() + UNANSWERED_PAUSE;
            withheld(state, life, known.limit, UNANSWERED_PAUSE)
        }
    }
}

/// Takes in what the answer to a request says of its replica's limit; `is_news` if this router had not heard of
/// it. What the leader does not know yet is told to it at once.
pub fn note_answer(
    state: &std::sync::Arc<ProxyState>,
    life: &str,
    permit: Option<Permit>,
    stated: StatedLimit,
    is_news: bool,
) {
    let limit = match stated {
        StatedLimit::Named(limit) => Some(limit),
        StatedLimit::NotNamed => None,
        StatedLimit::Unreadable(_) => return,
    };
    let differs = permit.is_some_and(|permit| Some(permit.limit) != limit);
    if !differs && !is_news {
        return;
    }
    let statement = LimitStatement {
        limit,
        age_ms: 0,
        permit: permit.map(|permit| permit.stamp),
    };
    tokio::spawn(tell(
        state.clone(),
        life.to_owned(),
        statement,
        state.uptime(),
    ));
}

/// Tells the leader of limits that were named to this router and that the digest does not name: it may not have
/// heard of them, or know that they are over.
pub fn tell_unknown(state: &std::sync::Arc<ProxyState>) {
    let uptime = state.uptime();
    let now = Instant::now();
    let untold: Vec<(String, NamedLimit)> = {
        let replicas = lock(&state.replicas);
        let fleet = lock(&state.fleet);
        let own = replicas.availability.limits();
        own.filter(|(life, own)| {
            own.named_at + DIGEST_LAG < uptime && fleet.limit(ReplicaKey::of(life), now).is_none()
        })
        .map(|(life, own)| (life.to_owned(), own))
        .collect()
    };
    for (life, own) in untold {
        let statement = LimitStatement {
            limit: Some(own.limit),
            age_ms: milliseconds(uptime.saturating_sub(own.named_at)),
            permit: None,
        };
        tokio::spawn(tell(state.clone(), life, statement, uptime));
    }
}

async fn tell(
    state: std::sync::Arc<ProxyState>,
    life: String,
    heard: LimitStatement,
    heard_at: Duration,
) {
    for _ in 0..TELL_TRIES {
        let since = state.uptime().saturating_sub(heard_at);
        let question = PermitRequest {
            life: life.clone(),
            statement: LimitStatement {
                age_ms: heard.age_ms.saturating_add(milliseconds(since)),
                ..heard
            },
            wants_permit: false,
        };
        match ask(&state, question, TELL_TIMEOUT).await {
            Some(PermitReply::NotLeader { .. }) | None => {
                tokio::time::sleep(UNANSWERED_PAUSE).await;
            }
            Some(PermitReply::Unlimited) => {
                let own = lock(&state.replicas).availability.limit(&life);
                limit_is_over(&state, &life, own.filter(|own| own.named_at <= heard_at));
                return;
            }
            Some(_) => return,
        }
    }
}

fn statement(known: &KnownLimit) -> LimitStatement {
    LimitStatement {
        limit: Some(known.limit),
        age_ms: milliseconds(known.age),
        permit: None,
    }
}

/// In whole milliseconds, rounded down: what is told as newer than it is takes no limit back too early.
fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn withheld(state: &ProxyState, life: &str, limit: RequestLimit, room_in: Duration) -> Permission {
    state.metrics.permits_withheld.inc();
    let room_at = state.uptime() + room_in;
    lock(&state.replicas)
        .availability
        .has_room_at(life, limit, room_at);
    Permission::Withheld
}

fn limit_is_over(state: &ProxyState, life: &str, own: Option<NamedLimit>) {
    let Some(own) = own else {
        return;
    };
    spdlog::info!("limit is over", kv: {
        replica = life.to_owned(),
        per_s = own.limit.requests_per_s(),
    });
    lock(&state.replicas)
        .availability
        .limit_is_over(life, own.named_at);
}

/// One question to the replica that is believed to lead; `None` if it does not answer.
async fn ask(state: &ProxyState, question: PermitRequest, limit: Duration) -> Option<PermitReply> {
    let asked = state
        .control_peers
        .ask("permit", |client| async move {
            client.take_permit(call_deadline(limit), question).await
        })
        .await;
    let (reply, address) = asked?;
    match &reply {
        PermitReply::NotLeader { leader } => state.control_peers.follow(address, leader.clone()),
        _ => state.control_peers.leads(address),
    }
    Some(reply)
}
