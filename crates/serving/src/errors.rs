//! Errors of configuration validation.

use thiserror::Error;

/// The first error found in a configuration. An invalid configuration is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// A route refers to a service that the configuration does not define.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    DuplicateRoute {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// The weights of a route's services sum to zero.
    #[error("the weights of route {route} sum to zero")]
    NoWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is zero.
    #[error("route {route} has a timeout of zero")]
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// A path prefix does not start and end with a slash.
    #[error("the prefix of route {route} does not start and end with a slash")]
    MalformedPrefix {
        /// Name of the route.
        route: String,
    },
    /// Two services have the same name.
    #[error("service {service} is defined twice")]
    DuplicateService {
        /// Name of the service.
        service: String,
    },
    /// Two tenants have the same API key.
    #[error("tenants {first} and {second} share a key")]
    SharedKey {
        /// Name of the earlier tenant.
        first: String,
        /// Name of the later tenant.
        second: String,
    },
}
