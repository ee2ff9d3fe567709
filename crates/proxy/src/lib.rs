//! Data plane for requests that are forwarded without interpretation of their bodies.
//!
//! An adapter converts callers' HTTP requests into [`ProxiedRequest`]s, and a [`BackendProtocol`]
//! encodes dispatches as HTTP requests to replicas. All decisions in between are made here. Pure
//! modules receive time and randomness as arguments.
//!
//! | step | modules | pure |
//! |---|---|---|
//! | receive the configuration in parts | [`configuration_transfer`], updated by [`control_watch`] | yes |
//! | serve what a newer configuration left unchanged | [`invalidations`] | yes |
//! | confirm that the configuration is current | [`lease`], updated by [`control_watch`] | yes |
//! | resolve route, tenant and deadline | [`admission`] | yes |
//! | admit the request, wait for the first lease, or refuse | [`entry`] | |
//! | refuse requests that crash replicas | [`quarantine`], [`crash_tracker`], [`running_requests`], [`ended_requests`], [`segment_evidence`] and [`report_budget`] (pure), [`crash_checks`] with [`port_probe`], [`crash_detection`] | |
//! | acquire a part of the tenant's quota | [`quota`], through [`control_peers`] | |
//! | select the service | [`weighted_split`] | yes |
//! | select the replica | [`scoring`], with [`affinity`], [`health`], [`railtack_serving::weight_versions`] and [`railtack_serving::availability`] | yes |
//! | place prompts in a large fleet | [`homes`] | yes |
//! | combine the load seen by all routers | [`fleet_view`] | yes |
//! | refuse prompts whose first event would be late | [`prefill_latency`] | yes |
//! | acquire a permit for a rate-limited replica | [`permits`], [`limits`] | |
//! | lease a slot of a replica that withstands few rejections | [`slots`] | |
//! | decide whether to save the prompt to the store | [`store_budget`] | yes |
//! | keep within the room of replicas that withstand few rejections | [`room`] | yes |
//! | space out the retries of rate-limited callers | [`retry_pacing`] | yes |
//! | decide whether to retry | [`retry_decision`], [`budget`], [`router_count`] | yes |
//! | estimate latencies and decide under load | [`load`] (pure), [`estimates`] and [`overload`] (state by service) | |
//! | combine these for one request | [`selection`] | |
//! | acquire a connection | [`pool`], [`dial`], [`idle_limit`] (pure) | |
//! | connect through another router | [`relay`]: `path` and `peers` (pure), `client`, `server` | |
//! | run one exchange with a replica | [`attempt`] | |
//! | run all exchanges of a request | [`pipeline`] | |
//! | log the request | [`request_log`] | |
//! | relay the events of a stream | [`events`] (pure), [`stream`] | |
//! | continue a stream where it began, also when its caller takes it up | [`streams`] | |

pub mod admission;
pub mod affinity;
pub mod attempt;
pub mod backend;
pub mod budget;
pub mod configuration_transfer;
pub mod control_peers;
pub mod control_watch;
pub mod crash_checks;
pub mod crash_detection;
pub mod crash_tracker;
pub mod decay;
pub mod dial;
pub mod ended_requests;
pub mod entry;
pub mod estimates;
pub mod events;
pub mod fleet_view;
pub mod health;
pub mod homes;
pub mod idle_limit;
pub mod incarnation_check;
pub mod invalidations;
pub mod lease;
pub mod limits;
pub mod load;
pub mod metrics;
pub mod overload;
pub mod permits;
pub mod pipeline;
pub mod pool;
pub mod port_probe;
pub mod prefill_latency;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod relay;
pub mod replicas;
pub mod report_budget;
pub mod request;
pub mod request_log;
pub mod response_buffer;
pub mod retry_decision;
pub mod retry_pacing;
pub mod room;
pub mod router_count;
pub mod running_requests;
pub mod scoring;
pub mod segment_evidence;
pub mod selection;
pub mod slots;
pub mod state;
pub mod store_budget;
pub mod stream;
pub mod streams;
pub mod view;
pub mod weighted_split;
pub mod witness;

pub use backend::{BackendProtocol, Dispatch, ResponseClass};
pub use pipeline::handle;
pub use request::{PromptInfo, PromptSegment, ProxiedRequest};
pub use state::{ProxyOptions, ProxyState, ShutdownPlan};
