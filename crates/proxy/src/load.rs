//! Estimates and decisions under load. Pure: values, times and seeds are passed in, and no module depends on
//! the state of the router or on the pipeline of a request.
//!
//! | decision | module |
//! |---|---|
//! | expected latencies of a prompt at a replica | [`estimate`] |
//! | preference for the newest weights during a rollout | [`weights`] |

pub mod estimate;
pub mod weights;
