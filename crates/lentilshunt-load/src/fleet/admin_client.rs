//! HTTP client for the administrative interfaces of a fleet.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request};
use lentilshunt_net::{
    history::{Writer, new_event},
    http::{Exchange, Pool},
};
use lentilshunt_schema::{
    history::Kind,
    operate::Routes,
    platform::{Direction, Fault, Forward, Links, Source},
};
use serde::Serialize;

use super::{Layout, Server};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Interval at which the routes of all nodes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Routes that a node serves on its admin address.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteTable {
    /// Version in force.
    pub version: u64,
    /// Instances of each service.
    pub routes: HashMap<String, Vec<String>>,
}

/// Client of the admin addresses of nodes, upstreams and stand-ins.
#[derive(Debug, Default)]
pub struct AdminClient {
    pool: Pool,
}

impl AdminClient {
    /// Returns the routes of a node; `None` when it does not respond.
    pub async fn routes(&self, server: &Server) -> Option<RouteTable> {
        let body = self.get(server.admin_address(), "/routes").await?;
        serde_json::from_slice::<Routes>(&body)
            .ok()
            .map(RouteTable::from)
    }

    /// Returns the metrics of a node as text; `None` when it does not respond.
    pub async fn metrics(&self, server: &Server) -> Option<String> {
        let body = self.get(server.admin_address(), "/metrics").await?;
        String::from_utf8(body.to_vec()).ok()
    }

    /// Records the current routes of every node that responds.
    pub async fn record_routes(&self, layout: &Layout, history: &Writer) {
        for server in &layout.servers {
            let Some(table) = self.routes(server).await else {
                continue;
            };
            let mut routes = new_event(Kind::Routes);
            routes.instance = Some(format!("node/{}", server.instance));
            routes.version = Some(table.version);
            routes.routes = Some(table.routes);
            history.write(routes);
        }
    }

    /// Waits until every node has `version` or a newer one in force and routes to every server.
    ///
    /// Returns the instances of the nodes that are not ready by `deadline`.
    pub async fn wait_ready(
        &self,
        layout: &Layout,
        version: u64,
        deadline: Instant,
    ) -> BTreeSet<String> {
        loop {
            let mut unready = BTreeSet::new();
            for server in &layout.servers {
                let table = self.routes(server).await;
                if !table.is_some_and(|table| table.is_ready(layout, version)) {
                    unready.insert(server.instance.clone());
                }
            }
            if unready.is_empty() || Instant::now() >= deadline {
                return unready;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sets the faults of the platform; returns whether the request succeeded.
    pub async fn set_platform_faults(&self, layout: &Layout, fault: &Fault) -> bool {
        self.post(layout.platform_address(), "/admin/fault", fault)
            .await
    }

    /// Configures the link stand-in to forward to every server and to the platform;
    /// returns whether the request succeeded.
    pub async fn configure_links(&self, layout: &Layout) -> bool {
        let platform = Forward {
            listen: layout.platform_address_for_nodes().to_string(),
            target: layout.platform_address().to_string(),
            domain: Layout::PLATFORM_DOMAIN.to_owned(),
        };
        let servers = layout.servers.iter();
        let forwards = servers.clone().map(|server| Forward {
            listen: layout.advertised_address(server).to_string(),
            target: server.peer_address().to_string(),
            domain: server.domain.clone(),
        });
        let sources = servers.map(|server| Source {
            ip: server.ip.to_string(),
            domain: server.domain.clone(),
        });
        let links = Links {
            forwards: forwards.chain([platform]).collect(),
            sources: sources.collect(),
        };
        self.post(layout.links_address(), "/links", &links).await
    }

    /// Sets one direction between two failure domains; returns whether the request
    /// succeeded.
    pub async fn set_direction(&self, layout: &Layout, direction: &Direction) -> bool {
        self.post(layout.links_address(), "/direction", direction)
            .await
    }

    /// Starts or ends a drain of an upstream; returns whether the request succeeded.
    pub async fn drain(&self, server: &Server, is_draining: bool) -> bool {
        let path = if is_draining {
            "/.standin/drain"
        } else {
            "/.standin/ready"
        };
        self.post(server.upstream_address(), path, &()).await
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        self.send(address, Method::GET, path, Bytes::new()).await
    }

    async fn post<T: Serialize>(&self, address: SocketAddr, path: &str, message: &T) -> bool {
        let body = rmp_serde::to_vec_named(message).expect("the message can be encoded");
        let response = self.send(address, Method::POST, path, body.into()).await;
        response.is_some()
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<Bytes> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().ok()?;
        let exchange = Exchange {
            address,
            deadline: Instant::now() + REQUEST_TIMEOUT,
            max_body_bytes: MAX_RESPONSE_BYTES,
        };
        let response = self.pool.exchange(exchange, request).await.ok()?;
        response.status().is_success().then(|| response.into_body())
    }
}

impl From<Routes> for RouteTable {
    fn from(table: Routes) -> Self {
        let routes = table.routes.into_iter().map(|route| {
            let endpoints = route.endpoints.into_iter();
            let instances = endpoints.map(|endpoint| endpoint.instance);
            (route.service, instances.collect())
        });
        Self {
            version: table.version,
            routes: routes.collect(),
        }
    }
}

impl RouteTable {
    fn is_ready(&self, layout: &Layout, version: u64) -> bool {
        let mut expected: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for server in &layout.servers {
            let instances = expected.entry(&server.service).or_default();
            instances.insert(&server.instance);
        }
        let has_all = |(service, instances): (&&str, &BTreeSet<&str>)| {
            let table = self.routes.get(*service);
            table.is_some_and(|table| {
                let table: BTreeSet<&str> = table.iter().map(String::as_str).collect();
                instances.is_subset(&table)
            })
        };
        self.version >= version && expected.iter().all(has_all)
    }
}
