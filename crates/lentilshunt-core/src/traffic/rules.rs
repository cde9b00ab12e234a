//! Version of the traffic rules.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use snafu::ensure;

use super::{
    Error, Limits, Omission, Route,
    error::{DuplicateSnafu, NoHostSnafu, NoWeightSnafu, PrefixSnafu, UnknownServiceSnafu},
};
use crate::{
    id::{ServiceId, VersionId},
    organisation::Directory,
};

/// Routes by host and path prefix, and limits of callers.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    version: VersionId,
    limits: Limits,
    services: BTreeSet<ServiceId>,
    health_paths: BTreeMap<ServiceId, String>,
    organisations: Option<Arc<Directory>>,
    hosts: HashMap<String, HostRoutes>,
    /// Whether the host of some omitted route cannot be read.
    has_unreadable_host: bool,
    omissions: Vec<Omission>,
}

/// Routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// Routes by path prefix; `None` for an omitted route.
    routes: HashMap<String, Option<Arc<Route>>>,
    /// Whether the prefix of some omitted route cannot be read.
    has_unreadable_prefix: bool,
}

impl Rules {
    /// Creates a version without routes.
    #[must_use]
    pub fn new(version: VersionId, limits: Limits, services: BTreeSet<ServiceId>) -> Self {
        Self {
            version,
            limits,
            services,
            ..Self::default()
        }
    }

    /// Sets the path of the health check of a service.
    #[must_use]
    pub fn with_health_path(mut self, service: &str, path: String) -> Self {
        self.health_paths.insert(service.to_owned(), path);
        self
    }

    /// Returns the path of the health check of a service, if it has one.
    #[must_use]
    pub fn health_path(&self, service: &str) -> Option<&str> {
        self.health_paths.get(service).map(String::as_str)
    }

    /// Sets the organisations; requests on routes that are not public then need a key.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Directory) -> Self {
        self.organisations = Some(Arc::new(organisations));
        self
    }

    /// Returns the organisations, or `None` if the version lists none.
    #[must_use]
    pub fn organisations(&self) -> Option<&Arc<Directory>> {
        self.organisations.as_ref()
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
        ensure!(
            has_slashes(prefix),
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
        let host_routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        let routes = &mut host_routes.routes;
        ensure!(
            !routes.contains_key(prefix),
            DuplicateSnafu {
                route: name,
                host,
                prefix
            }
        );
        routes.insert(prefix.to_owned(), Some(Arc::new(route)));
        Ok(())
    }

    /// Records a route that cannot be applied.
    ///
    /// It replaces a route with the same host and prefix, since it is unknown which of the two
    /// is meant.
    pub fn omit(&mut self, omission: Omission) {
        match (&omission.host, &omission.prefix) {
            (Some(host), prefix) => {
                let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
                match prefix.as_deref().filter(|prefix| has_slashes(prefix)) {
                    Some(prefix) => drop(routes.routes.insert(prefix.to_owned(), None)),
                    None => routes.has_unreadable_prefix = true,
                }
            }
            (None, _) => self.has_unreadable_host = true,
        }
        self.omissions.push(omission);
    }

    /// Returns the routes that are not in force, in the order in which they were recorded.
    #[must_use]
    pub fn omissions(&self) -> &[Omission] {
        &self.omissions
    }

    /// Returns whether any route is in force.
    #[must_use]
    pub fn has_routes(&self) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| host.routes.values().any(Option::is_some))
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
    /// A port in `host` is ignored. Returns `None` if no route matches, or if the matching one
    /// is omitted.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.host_routes(host)?.longest_match(path)?.as_ref()
    }

    /// Returns whether a request without a route may belong to an omitted one.
    ///
    /// A route whose host or prefix cannot be read may match any request.
    #[must_use]
    pub fn may_match_omission(&self, host: &str, path: &str) -> bool {
        if self.has_unreadable_host {
            return true;
        }
        let Some(routes) = self.host_routes(host) else {
            return false;
        };
        routes.has_unreadable_prefix || routes.longest_match(path).is_some_and(Option::is_none)
    }

    fn host_routes(&self, host: &str) -> Option<&HostRoutes> {
        let name = host.split_once(':').map_or(host, |(name, _port)| name);
        let routes = self.hosts.get(name);
        routes.or_else(|| self.hosts.get(&name.to_ascii_lowercase()))
    }
}

impl HostRoutes {
    /// Returns the entry with the longest prefix that matches a path.
    fn longest_match(&self, path: &str) -> Option<&Option<Arc<Route>>> {
        let slashes = path.rmatch_indices('/');
        slashes
            .map(|(index, _)| &path[..=index])
            .find_map(|prefix| self.routes.get(prefix))
    }
}

/// Returns whether a path prefix starts and ends with a slash.
fn has_slashes(prefix: &str) -> bool {
    prefix.starts_with('/') && prefix.ends_with('/')
}
