//! HTTP client and server utilities shared by the daemons, based on hyper.

pub mod bodies;
pub mod body;
pub mod body_budget;
pub mod body_buffer;
pub mod caller_stream;
pub mod client;
pub mod connection_table;
pub mod connections;
pub mod errors;
pub mod head_limit;
pub mod listen;
pub mod machine;
pub mod observability;
pub mod response_head;
pub mod retry_after;
pub mod server;
pub mod signals;

pub use bodies::{Bodies, NO_ROOM_RETRY_AFTER, RequestBody};
pub use body::{Body, BodySender, empty, full, json, lines, read_body, streaming};
pub use client::{HttpClient, send_on_new_connection};
pub use connections::connection_metrics;
pub use errors::{HttpError, ReceiveError, SendError};
pub use head_limit::{HeadLimit, HeadLimitedStream};
pub use listen::{listen, listen_metrics};
pub use machine::Machine;
pub use response_head::{InvalidHead, check_response_head};
pub use retry_after::{MAX_RETRY_AFTER, retry_after};
pub use server::{ConnectionLimits, ServeOptions, serve, serve_limited};
