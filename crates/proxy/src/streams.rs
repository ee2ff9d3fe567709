//! Streams over the tries of their callers: where each began is recorded, and looked up when its caller takes it up.
//!
//! | module | job | pure |
//! |---|---|---|
//! | [`history`] | tells the only version that a service ran, if there was one only | yes |
//! | [`lookup`] | finds the origin of a stream that its caller takes up | |
//! | [`recorder`] | sends the origins of streams to control replicas | |

pub mod history;
pub mod lookup;
pub mod recorder;
