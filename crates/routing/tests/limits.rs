//! Tests of admission, retry budgets and circuit breaking.

use quickcheck::quickcheck;
use railtack_core::TenantName;
use railtack_routing::{
    Admission, AdmissionRefusal, CircuitBreaker, RetryBudget, admission::AdmissionRequest,
};
use railtack_settings::documents::{Priority, TenantLimits};

const SECOND: u64 = 1_000_000;

fn limits(tokens_per_second: u64, burst_tokens: u64, concurrent_requests: u32) -> TenantLimits {
    TenantLimits {
        tokens_per_second,
        burst_tokens,
        concurrent_requests,
    }
}

fn request<'a>(
    tenant: &'a TenantName,
    limits: &'a TenantLimits,
    tokens: u64,
) -> AdmissionRequest<'a> {
    AdmissionRequest {
        tenant,
        limits,
        weight: 1,
        tokens,
        priority: Priority::Interactive,
        first_token_us: 10_000,
        deadline_us: 10 * SECOND,
    }
}

#[test]
fn a_tenant_over_its_rate_is_refused_with_a_retry_time() {
    let tenant = TenantName::from("tenant");
    let limits = limits(1_000, 1_000, 100);
    let mut admission = Admission::default();
    assert_eq!(admission.admit(request(&tenant, &limits, 1_000), 0), Ok(()));
    let refusal = admission
        .admit(request(&tenant, &limits, 500), 0)
        .expect_err("the bucket is empty");
    assert!(matches!(refusal, AdmissionRefusal::RateLimit { .. }));
    let later = refusal.retry_after_us();
    assert_eq!(later, SECOND / 2);
    assert_eq!(
        admission.admit(request(&tenant, &limits, 500), later),
        Ok(())
    );
}

#[test]
fn limits_are_divided_among_routers() {
    let tenant = TenantName::from("tenant");
    let limits = limits(1_000_000, 1_000_000, 8);
    let mut admission = Admission::default();
    admission.set_routers(4);
    let admitted = (0..8)
        .filter(|_| admission.admit(request(&tenant, &limits, 1), 0).is_ok())
        .count();
    assert_eq!(admitted, 2);
    admission.release(&tenant);
    assert_eq!(admission.admit(request(&tenant, &limits, 1), 0), Ok(()));
}

#[test]
fn a_request_that_would_start_too_late_is_refused() {
    let tenant = TenantName::from("tenant");
    let limits = TenantLimits::default();
    let mut admission = Admission::default();
    let late = AdmissionRequest {
        first_token_us: 2 * SECOND,
        ..request(&tenant, &limits, 10)
    };
    let refusal = admission.admit(late, 0).expect_err("too late");
    assert!(matches!(refusal, AdmissionRefusal::TooLate { .. }));
    let batch = AdmissionRequest {
        priority: Priority::Batch,
        ..late
    };
    assert_eq!(admission.admit(batch, 0), Ok(()));
}

#[test]
fn under_load_the_tenant_with_the_highest_usage_is_refused_first() {
    let greedy = TenantName::from("greedy");
    let modest = TenantName::from("modest");
    let limits = limits(10_000_000, 10_000_000, 10_000);
    let mut admission = Admission::default();
    for _ in 0..50 {
        let _ = admission.admit(request(&greedy, &limits, 10_000), 0);
    }
    let _ = admission.admit(request(&modest, &limits, 10_000), 0);
    let under_load = |tenant| AdmissionRequest {
        first_token_us: 590_000,
        ..request(tenant, &limits, 10_000)
    };
    let refusal = admission.admit(under_load(&greedy), 0);
    assert!(matches!(refusal, Err(AdmissionRefusal::FairShare { .. })));
    assert_eq!(admission.admit(under_load(&modest), 0), Ok(()));
}

#[test]
fn an_open_breaker_allows_one_probe_and_closes_on_success() {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..3 {
        assert!(breaker.allows(0));
        breaker.record_attempt();
        breaker.record_failure(0);
    }
    assert!(!breaker.allows(100_000));
    assert!(breaker.allows(SECOND));
    breaker.record_attempt();
    assert!(!breaker.allows(SECOND), "one probe at a time");
    breaker.record_success();
    assert!(breaker.allows(SECOND));
}

quickcheck! {
    fn retries_stay_within_a_tenth_of_the_requests(failures: Vec<bool>) -> bool {
        let mut budget = RetryBudget::default();
        let mut retries = 0;
        for fails in &failures {
            budget.deposit();
            if *fails && budget.withdraw() {
                retries += 1;
            }
        }
        // The initial balance allows ten retries.
        retries <= 10 + failures.len() / 10
    }
}
