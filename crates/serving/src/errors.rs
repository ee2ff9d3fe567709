//! Why a configuration is not valid.

use thiserror::Error;

/// The first fault found in a configuration; nothing of it comes into force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// A route sends requests to a service that the configuration does not define.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service it names.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    DuplicateRoute {
        /// The route that came first.
        first: String,
        /// The route that repeats it.
        second: String,
    },
    /// The weights of a route's services sum to zero.
    #[error("the weights of route {route} sum to zero")]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route gives requests no time.
    #[error("route {route} has a timeout of zero")]
    NoTimeout {
        /// The route.
        route: String,
    },
    /// A path prefix does not start and end with a slash.
    #[error("the prefix of route {route} does not start and end with a slash")]
    MalformedPrefix {
        /// The route.
        route: String,
    },
    /// Two services have the same name.
    #[error("service {service} is defined twice")]
    DuplicateService {
        /// The service.
        service: String,
    },
    /// Two tenants hold the same key.
    #[error("tenants {first} and {second} share a key")]
    SharedKey {
        /// The tenant that came first.
        first: String,
        /// The other tenant.
        second: String,
    },
}
