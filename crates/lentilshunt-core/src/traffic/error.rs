//! Why a version of the traffic rules is refused.

use snafu::Snafu;

use crate::id::ServiceId;

/// Fault in a version of the traffic rules.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A route leads to a service that the version does not list.
    #[snafu(display("route {route:?} leads to the unknown service {service:?}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: ServiceId,
    },
    /// A prefix does not begin and end with a slash.
    #[snafu(display("prefix {prefix:?} of route {route:?} does not begin and end with a slash"))]
    Prefix {
        /// Name of the route.
        route: String,
        /// Prefix as it was given.
        prefix: String,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("route {route:?} repeats host {host:?} and prefix {prefix:?}"))]
    Repeated {
        /// Name of the second route.
        route: String,
        /// Host of both routes.
        host: String,
        /// Prefix of both routes.
        prefix: String,
    },
    /// A route has no service with a weight above zero.
    #[snafu(display("route {route:?} names no service with a weight above zero"))]
    Weightless {
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
