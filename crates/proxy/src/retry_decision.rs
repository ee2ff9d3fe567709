//! Decision after a failed exchange: retry, forward the failure, or give up. Pure.
//!
//! A request that must not be repeated is retried, or refused as not run, only with proof that it
//! has not run: the replica declined it, or no byte of it was sent.

/// What is known about the execution of a request after an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeProof {
    /// Not sent, for a reason that is recorded by now. Trying another replica does not count as a
    /// retry.
    Withheld,
    /// Not sent, or declined by the replica.
    NotRun,
    /// The request may have run, and no usable response was received.
    MayHaveRun,
    /// The request ran and failed; the response can be forwarded.
    RanAndFailed,
}

/// Facts the decision is based on.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeFacts {
    /// What the last exchange proves.
    pub proof: ExchangeProof,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// Number of replicas that may have run the request.
    pub replicas_used: u32,
    /// Maximum number of replicas that may run it.
    pub max_attempts: u32,
    /// Number of replicas that declined it.
    pub declined: u32,
    /// Whether the deadline has not passed and the lease is valid.
    pub in_time: bool,
}

/// The next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another replica, if the retry budget allows it.
    Retry,
    /// Forward the replica's failure.
    ForwardFailure,
    /// Refuse: the request has not run and never will.
    RefuseNotRun,
    /// Fail: the request may have run.
    FailUnknown,
}

/// Number of declines after which a request is refused.
const MAX_DECLINES: u32 = 3;

/// Returns the next step after a failed exchange.
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

/// Returns the step if the request is not retried.
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
