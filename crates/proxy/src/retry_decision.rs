//! What follows from how an exchange ended: pass the answer on, try again, or give up. Pure.
//!
//! A request that may not be repeated is sent again, or refused as "not run", only on proof that
//! it has not run: the replica said so, or no byte of it left this process.

/// What is proved about one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeProof {
    /// It was withheld before anything was sent, for a reason that is known since. Another replica may be asked
    /// at no cost: no retry has arrived anywhere.
    Withheld,
    /// Nothing was sent, or the replica said that it did not run the request.
    NotRun,
    /// The request may have run, and no usable answer came.
    MayHaveRun,
    /// The replica ran it and answered that it failed; that answer can be passed on.
    RanAndFailed,
}

/// What is known when an exchange has ended without a good answer.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeFacts {
    /// What is proved about it.
    pub proof: ExchangeProof,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// Replicas that may have run the request so far.
    pub replicas_used: u32,
    /// Most replicas that may run it.
    pub max_attempts: u32,
    /// Replicas that declined so far.
    pub declined: u32,
    /// Whether time is left.
    pub in_time: bool,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to another replica, if the budget allows.
    Retry,
    /// Pass the replica's failure on.
    ForwardFailure,
    /// Refuse: it has not run and never will.
    RefuseNotRun,
    /// Tell that it may have run.
    FailUnknown,
}

/// Replicas that may decline a request before it is refused.
const MAX_DECLINES: u32 = 3;

/// Decides after an exchange that brought no good answer.
pub fn next_step(facts: ExchangeFacts) -> NextStep {
    let can_retry = match facts.proof {
        ExchangeProof::Withheld => true,
        ExchangeProof::NotRun => facts.declined < MAX_DECLINES,
        ExchangeProof::MayHaveRun | ExchangeProof::RanAndFailed => {
            facts.may_repeat && facts.replicas_used < facts.max_attempts
        }
    };
    if can_retry && facts.in_time {
        return NextStep::Retry;
    }
    without_retry(facts)
}

/// Decides when no further try is possible.
pub fn without_retry(facts: ExchangeFacts) -> NextStep {
    match facts.proof {
        ExchangeProof::RanAndFailed => NextStep::ForwardFailure,
        ExchangeProof::MayHaveRun => NextStep::FailUnknown,
        ExchangeProof::Withheld | ExchangeProof::NotRun if facts.replicas_used == 0 => {
            NextStep::RefuseNotRun
        }
        ExchangeProof::Withheld | ExchangeProof::NotRun => NextStep::FailUnknown,
    }
}
