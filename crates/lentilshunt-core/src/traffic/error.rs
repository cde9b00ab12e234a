//! Errors of the traffic rules.

use snafu::Snafu;

use crate::id::ServiceId;

/// Reason why a version of the traffic rules is invalid.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A route refers to a service that the version does not list.
    #[snafu(display("route {route:?} refers to the unknown service {service:?}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: ServiceId,
    },
    /// A prefix does not start and end with a slash.
    #[snafu(display("prefix {prefix:?} of route {route:?} does not start and end with a slash"))]
    Prefix {
        /// Name of the route.
        route: String,
        /// Invalid prefix.
        prefix: String,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("route {route:?} duplicates host {host:?} and prefix {prefix:?}"))]
    Duplicate {
        /// Name of the second route.
        route: String,
        /// Host of both routes.
        host: String,
        /// Prefix of both routes.
        prefix: String,
    },
    /// A route has no service with a weight above zero.
    #[snafu(display("route {route:?} has no service with a weight above zero"))]
    NoWeight {
        /// Name of the route.
        route: String,
    },
    /// A route has no host.
    #[snafu(display("route {route:?} has no host"))]
    NoHost {
        /// Name of the route.
        route: String,
    },
}
