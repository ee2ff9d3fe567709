//! Permits for requests to back ends that name a limit over all routers together.
//!
//! A router that has heard of a limit, from an answer or from the digest of all routers, asks the leader for a
//! permit right before it sends a request there, and tells it what it heard. Nobody keeps permits: one that is not
//! used soon is void, so that a router which was frozen with one in hand does not send it later. Without an
//! answer of a leader nothing is sent there, as nobody else knows what others send.

use std::{sync::Arc, time::Duration};

use railtack_clock::BootInstant;
use railtack_rpc::{
    permits::{LimitReport, PermitReply, PermitRequest, PermitStamp},
    serving::GRANT_TTL,
};
use railtack_serving::{AdvertisedLimit, LimitHeader, MonotonicTime, RequestLimit};
use tokio::time::sleep;

/// Longest time for one question.
const LONGEST_ASK: Duration = Duration::from_millis(250);
/// Part of the objective, as a divisor, that one question may take: other back ends may be asked after it.
const ASK_DIVISOR: u32 = 8;
/// Time after an unanswered question in which no other is asked: a leader is elected in some hundreds of
/// milliseconds, and requests go to other back ends meanwhile.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(100);
/// Time for telling the leader what an answer said.
const TELL_TIMEOUT: Duration = Duration::from_millis(250);
/// Tries to tell it; the next question for a permit tells it too.
const TELL_TRIES: u32 = 4;

/// The right to send one request to a back end that names a limit, or the leader's word that it has none any more:
/// digests may name it for longer.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    asked_at: BootInstant,
    /// The limit and the permit's name; `None` if there is no limit.
    given: Option<(RequestLimit, PermitStamp)>,
}

impl Permit {
    /// Whether it may still be used.
    fn is_fresh(&self) -> bool {
        self.asked_at.elapsed() <= GRANT_TTL
    }

    fn limit(&self) -> Option<RequestLimit> {
        self.given.map(|(limit, _)| limit)
    }

    fn stamp(&self) -> Option<PermitStamp> {
        self.given.map(|(_, stamp)| stamp)
    }
}

/// What became of a question for a permit.
#[derive(Clone, Copy, Debug)]
pub enum Permission {
    /// The request may be sent; with a permit, if the back end is known to have, or to have had, a limit.
    Given(Option<Permit>),
    /// It may not, before a moment that was noted.
    Withheld,
}

/// What a router knows of a back end's limit.
#[derive(Clone, Copy, Debug)]
pub struct KnownLimit {
    /// The limit that was named last, to this router or to others.
    pub limit: RequestLimit,
    /// Time since.
    pub age: Duration,
    /// What the back end named to this router itself.
    pub own: Option<AdvertisedLimit>,
}

/// A router, as far as limits need it: what it knows of them, and how it reaches the leader.
pub trait LimitedRouter: Send + Sync + 'static {
    /// Time since it started.
    fn uptime(&self) -> MonotonicTime;
    /// What it knows of a back end's limit; `None` if it has none.
    fn known_limit(&self, life: &str) -> Option<KnownLimit>;
    /// Until when no permit is asked for, as no leader answered.
    fn unanswered_until(&self) -> MonotonicTime;
    /// Notes that no leader answered.
    fn note_unanswered(&self, until: MonotonicTime);
    /// Notes that a limit has no room before a moment.
    fn note_withheld(&self, life: &str, limit: RequestLimit, room_at: MonotonicTime);
    /// Notes that a limit is over that was named to this router no later than at `named_at`.
    fn note_over(&self, life: &str, named_at: MonotonicTime);
    /// Asks the control replica that is believed to lead; `None` without an answer.
    fn ask_leader(
        &self,
        question: PermitRequest,
        limit: Duration,
    ) -> impl Future<Output = Option<PermitReply>> + Send;
}

/// Whether a request lacks a permit to be sent to this back end now.
pub fn is_lacking(router: &impl LimitedRouter, life: &str, permit: Option<Permit>) -> bool {
    match permit {
        Some(permit) => !permit.is_fresh(),
        None => router.known_limit(life).is_some(),
    }
}

/// Takes a permit for one request, if the back end has a limit.
pub async fn take(router: &impl LimitedRouter, life: &str, objective: Duration) -> Permission {
    let Some(known) = router.known_limit(life) else {
        return Permission::Given(None);
    };
    let withheld = |limit: RequestLimit, room_in: Duration| {
        spdlog::info!("permit withheld", kv: {
            replica = life.to_owned(),
            per_s = limit.requests_per_s(),
            room_in_ms = room_in.as_millis() as u64,
        });
        router.note_withheld(life, limit, router.uptime() + room_in);
        Permission::Withheld
    };
    if router.uptime() < router.unanswered_until() {
        return withheld(known.limit, UNANSWERED_PAUSE);
    }
    let asked_at = BootInstant::now();
    let question = PermitRequest {
        incarnation_id: life.to_owned(),
        report: LimitReport {
            limit: Some(known.limit),
            age_ms: milliseconds(known.age),
            permit: None,
        },
        wants_permit: true,
    };
    let limit = LONGEST_ASK.min(objective / ASK_DIVISOR);
    match router.ask_leader(question, limit).await {
        Some(PermitReply::Granted { limit, stamp }) => Permission::Given(Some(Permit {
            asked_at,
            given: Some((limit, stamp)),
        })),
        Some(PermitReply::Denied {
            limit,
            retry_after_ms,
        }) => withheld(limit, Duration::from_millis(u64::from(retry_after_ms))),
        Some(PermitReply::Unlimited) => {
            limit_is_over(router, life, known.own);
            let given = None;
            Permission::Given(Some(Permit { asked_at, given }))
        }
        Some(PermitReply::NotLeader { .. }) | None => {
            router.note_unanswered(router.uptime() + UNANSWERED_PAUSE);
            withheld(known.limit, UNANSWERED_PAUSE)
        }
    }
}

/// Takes in what the answer to a request says of its back end's limit; `is_news` if this router had not heard of
/// it. What the leader does not know yet is told to it at once.
pub fn note_answer<R: LimitedRouter>(
    router: &Arc<R>,
    life: &str,
    permit: Option<Permit>,
    stated: LimitHeader,
    is_news: bool,
) {
    let limit = match stated {
        LimitHeader::Present(limit) => Some(limit),
        LimitHeader::Absent => None,
        LimitHeader::Invalid(_) => return,
    };
    let differs = permit.is_some_and(|permit| permit.limit() != limit);
    if !differs && !is_news {
        return;
    }
    let statement = LimitReport {
        limit,
        age_ms: 0,
        permit: permit.and_then(|permit| permit.stamp()),
    };
    tokio::spawn(tell(Arc::clone(router), life.to_owned(), statement));
}

/// Tells the leader again of a limit that was named to this router: others may not know of it, or know that it
/// is over.
pub fn tell_again<R: LimitedRouter>(router: &Arc<R>, life: String, own: AdvertisedLimit) {
    let statement = LimitReport {
        limit: Some(own.limit),
        age_ms: milliseconds(router.uptime().saturating_sub(own.advertised_at)),
        permit: None,
    };
    tokio::spawn(tell(Arc::clone(router), life, statement));
}

async fn tell<R: LimitedRouter>(router: Arc<R>, life: String, heard: LimitReport) {
    let began_at = router.uptime();
    let heard_at = began_at.saturating_sub(Duration::from_millis(u64::from(heard.age_ms)));
    for _ in 0..TELL_TRIES {
        let question = PermitRequest {
            incarnation_id: life.clone(),
            report: LimitReport {
                age_ms: milliseconds(router.uptime().saturating_sub(heard_at)),
                ..heard
            },
            wants_permit: false,
        };
        match router.ask_leader(question, TELL_TIMEOUT).await {
            Some(PermitReply::NotLeader { .. }) | None => sleep(UNANSWERED_PAUSE).await,
            Some(PermitReply::Unlimited) => {
                let own = router.known_limit(&life).and_then(|known| known.own);
                limit_is_over(
                    &*router,
                    &life,
                    own.filter(|own| own.advertised_at <= began_at),
                );
                return;
            }
            Some(_) => return,
        }
    }
}

/// In whole milliseconds, rounded down: what is told as newer than it is takes no limit back too early.
fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn limit_is_over(router: &impl LimitedRouter, life: &str, own: Option<AdvertisedLimit>) {
    let Some(own) = own else {
        return;
    };
    spdlog::info!("limit is over", kv: {
        replica = life.to_owned(),
        per_s = own.limit.requests_per_s(),
    });
    router.note_over(life, own.advertised_at);
}
