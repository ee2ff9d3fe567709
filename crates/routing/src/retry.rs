//! A budget for second attempts, so that retries cannot multiply a failure.

/// Tenths of a retry earned by each first attempt: one retry for ten requests in the long run.
const CREDIT_PER_REQUEST: u64 = 1;
/// Cost of a retry, in the same tenths.
const RETRY_COST: u64 = 10;
/// Most that can be saved up, in the same tenths.
const MAX_BALANCE: u64 = 100;

/// Retries that may still be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + CREDIT_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
