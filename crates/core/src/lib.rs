//! Identifiers, prefix hashes and refusal codes shared by all processes.

pub mod execution;
pub mod identifiers;
pub mod prefix;

pub use execution::{Execution, RefusalCode};
pub use identifiers::{
    AttemptId, EngineId, EngineIncarnation, IdempotencyKey, ModelName, OperationId, RequestId,
    Revision, RouterId, TemplateName, TenantName, WeightsVersion, ZoneName,
};
pub use prefix::{BlockHash, CacheNamespace, PrefixChain};
