//! Messages and tarpc services of the control group, over a length-delimited `speedy` transport.

pub mod codec;
pub mod connection;
pub mod layout;
pub mod level;
pub mod permits;
pub mod protocol;
pub mod relay;
pub mod service;
pub mod serving;
pub mod slots;
pub mod streams;

pub use connection::{ConnectionError, ControlConnection, call_context};
pub use level::{FeatureLevel, GroupLevel, PeerInfo};
pub use service::{Control, ControlClient};
pub use tarpc::client::RpcError;
