//! Estimates and decisions under load. Pure: values, times and seeds are passed in, and no module depends on
//! the state of the router or on the pipeline of a request.
//!
//! | decision | module |
//! |---|---|
//! | expected latencies of a prompt at a replica | [`estimate`], [`fit`], [`longest_gap`] |
//! | replica with the shortest expected time, among a few | [`choice`], [`candidates`] |
//! | sums that tell the speed of a replica | [`pace`] |

pub mod candidates;
pub mod choice;
pub mod estimate;
pub mod fit;
pub mod longest_gap;
pub mod pace;
