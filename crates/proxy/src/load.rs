//! Estimates and decisions under load. Pure except for [`late_requests`]: values, times and seeds are passed in, and
//! no module depends on the state of the router or on the pipeline of a request.
//!
//! | decision | module |
//! |---|---|
//! | expected latencies of a prompt at a replica | [`estimate`], [`fit`], [`longest_gap`] |
//! | replica with the shortest expected time, among a few | [`choice`], [`candidates`] |
//! | sums that tell the speed of a replica | [`pace`] |
//! | part of a queue that is more urgent than a prompt | [`urgency_mix`] |
//! | in time, late or refused | [`admission`], with [`late_requests`] |
//! | when refused callers return | [`return_times`], with [`retry_slots`] |
//! | preference for the newest weights during a rollout | [`weights`] |

pub mod admission;
pub mod candidates;
pub mod choice;
pub mod estimate;
pub mod fit;
pub mod late_requests;
pub mod longest_gap;
pub mod pace;
pub mod retry_slots;
pub mod return_times;
pub mod urgency_mix;
pub mod weights;
