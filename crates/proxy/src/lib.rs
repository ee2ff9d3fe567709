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
//! | does it end the replicas that run it? | [`quarantine`] (pure), [`crash_detection`] | |
//! | is the tenant's quota used up? | [`quota`], by way of [`control_peers`] | |
//! | which service? | [`traffic_split`] | yes |
//! | which replica? | [`scoring`], with [`affinity`], [`health`], [`weight_versions`] and [`railtack_serving::availability`] | yes |
//! | which replicas take prompts with this first part? | [`homes`] | yes |
//! | what do all routers meet there? | [`fleet_view`] | yes |
//! | will its first event be in time? | [`prefill_latency`] | yes |
//! | has its limit room for the request? | [`permits`], [`limits`] | |
//! | is its prompt sent to the store? | [`store_budget`] | yes |
//! | when do those come back that no limit has room for? | [`retry_pacing`] | yes |
//! | may it be tried again? | [`retry_decision`], [`budget`] | yes |
//! | all of that for one request | [`selection`] | |
//! | over which connection? | [`pool`], [`idle_limit`] (pure) | |
//! | one exchange | [`attempt`] | |
//! | all exchanges of a request | [`pipeline`] | |
//! | what is logged of it | [`request_log`] | |
//! | events of a stream | [`events`] (pure), [`stream`] | |

pub mod admission;
pub mod affinity;
pub mod attempt;
pub mod backend;
pub mod budget;
pub mod control_peers;
pub mod control_watch;
pub mod crash_detection;
pub mod entry;
pub mod events;
pub mod fleet_view;
pub mod health;
pub mod homes;
pub mod idle_limit;
pub mod lease;
pub mod limits;
pub mod metrics;
pub mod permits;
pub mod pipeline;
pub mod pool;
pub mod prefill_latency;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod replicas;
pub mod request;
pub mod request_log;
pub mod retry_decision;
pub mod retry_pacing;
pub mod scoring;
pub mod selection;
pub mod state;
pub mod store_budget;
pub mod stream;
pub mod traffic_split;
pub mod view;
pub mod weight_versions;

pub use backend::{BackendProtocol, Dispatch, ResponseClass};
pub use pipeline::handle;
pub use request::{PromptInfo, PromptSegment, ProxiedRequest};
pub use state::{ProxyOptions, ProxyState, ShutdownPlan};
