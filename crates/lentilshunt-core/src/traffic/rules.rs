//! Version of the traffic rules.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use snafu::ensure;

use super::{
    Error, Limits, Route,
    error::{DuplicateSnafu, NoHostSnafu, NoWeightSnafu, PrefixSnafu, UnknownServiceSnafu},
};
use crate::id::{ServiceId, VersionId};

/// Routes by host and path prefix, and limits of callers.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    version: VersionId,
    limits: Limits,
    services: BTreeSet<ServiceId>,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl Rules {
    /// Creates a version without routes.
    #[must_use]
    pub fn new(version: VersionId, limits: Limits, services: BTreeSet<ServiceId>) -> Self {
        Self {
            version,
            limits,
            services,
            hosts: HashMap::new(),
        }
    }

    /// Adds the route for a host and a path prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the route is invalid, refers to an unknown service or
    /// duplicates the host and prefix of another one.
    pub fn insert(&mut self, host: &str, prefix: &str, route: Route) -> Result<(), Error> {
        let name = &route.name;
        ensure!(!host.is_empty(), NoHostSnafu { route: name });
        let has_slashes = prefix.starts_with('/') && prefix.ends_with('/');
        ensure!(
            has_slashes,
            PrefixSnafu {
                route: name,
                prefix
            }
        );
        for entry in route.split.services() {
            let service = &*entry.service;
            ensure!(
                self.services.contains(service),
                UnknownServiceSnafu {
                    route: name,
                    service
                }
            );
        }
        let is_weighted = route.split.services().iter().any(|entry| entry.weight > 0);
        ensure!(is_weighted, NoWeightSnafu { route: name });
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        ensure!(
            !routes.contains_key(prefix),
            DuplicateSnafu {
                route: name,
                host,
                prefix
            }
        );
        routes.insert(prefix.to_owned(), Arc::new(route));
        Ok(())
    }

    /// Returns the version number; 0 before the first version.
    #[must_use]
    pub fn version(&self) -> VersionId {
        self.version
    }

    /// Returns the limits that apply to callers.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns whether the version lists a service.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Returns the route with the longest prefix that matches a path.
    ///
    /// A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let slashes = path.rmatch_indices('/');
        slashes
            .map(|(index, _)| &path[..=index])
            .find_map(|prefix| routes.get(prefix))
    }
}
