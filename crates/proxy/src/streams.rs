//! Streams over the tries of their callers: where each began is recorded, and looked up when its caller takes it up.
//!
//! | module | job |
//! |---|---|
//! | [`lookup`] | finds the origin of a stream that its caller takes up |
//! | [`recorder`] | sends the origins of streams to control replicas |

pub mod lookup;
pub mod recorder;
