//! Retry budget, which bounds the load that retries add during a failure.

/// Credit for each first attempt, in tenths of a retry: one retry per ten requests in the long run.
const CREDIT_PER_REQUEST: u64 = 1;
/// Cost of a retry, in tenths of a retry.
const RETRY_COST: u64 = 10;
/// Maximum balance, in tenths of a retry.
const MAX_BALANCE: u64 = 100;

/// Balance of retries that may still be made.
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
    /// Credits the budget for a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + CREDIT_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Withdraws one retry. Returns false if the balance is too low.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
