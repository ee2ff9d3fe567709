//! The data plane for requests that are passed on as they are.
//!
//! An adapter turns callers' HTTP into [`ProxiedRequest`]s and a [`BackendProtocol`] turns
//! dispatches into replicas' HTTP; everything between is decided here. The pure parts take time
//! and randomness as arguments.
//!
//! | step | module | pure |
//! |---|---|---|
//! | is the configuration current? | [`lease`], [`control_watch`] keeps it | yes |
//! | which route, tenant, limits? | [`admission`] | yes |
//! | taken now, later, or refused? | [`entry`] | |
//! | does it end the replicas that run it? | [`quarantine`] (pure), [`replica_end`] | |
//! | is the tenant's quota used up? | [`quota`], by way of [`control_peers`] | |
//! | which service? | [`split`] | yes |
//! | which replica? | [`choice`], with [`affinity`], [`health`], [`named`] and [`railtack_serving::availability`] | yes |
//! | which replicas take prompts with this first part? | [`homes`] | yes |
//! | what do all routers meet there? | [`fleet`] | yes |
//! | will its first event be in time? | [`pace`] | yes |
//! | has its limit room for the request? | [`permits`], [`limits`] | |
//! | is its prompt sent to the store? | [`saves`] | yes |
//! | when do those come back that no limit has room for? | [`returns`] | yes |
//! | may it be tried again? | [`verdict`], [`budget`] | yes |
//! | all of that for one request | [`targeting`] | |
//! | over which connection? | [`pool`], [`rest`] (pure) | |
//! | one exchange | [`attempt`] | |
//! | all exchanges of a request | [`pipeline`] | |
//! | what is logged of it | [`request_log`] | |
//! | events of a stream | [`events`] (pure), [`stream`] | |

pub mod admission;
pub mod affinity;
pub mod attempt;
pub mod backend;
pub mod budget;
pub mod choice;
pub mod control_peers;
pub mod control_watch;
pub mod entry;
pub mod events;
pub mod fleet;
pub mod health;
pub mod homes;
pub mod lease;
pub mod limits;
pub mod metrics;
pub mod named;
pub mod pace;
pub mod permits;
pub mod pipeline;
pub mod pool;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod replica_end;
pub mod replicas;
pub mod request;
pub mod request_log;
pub mod rest;
pub mod returns;
pub mod saves;
pub mod split;
pub mod state;
pub mod stream;
pub mod targeting;
pub mod verdict;
pub mod view;

pub use backend::{AnswerHead, BackendProtocol, Dispatch};
pub use pipeline::handle;
pub use request::{PromptSegment, PromptShape, ProxiedRequest};
pub use state::{ProxyOptions, ProxyState, StopPlan};
