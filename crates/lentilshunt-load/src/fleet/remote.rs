//! Asks and tells the processes of a fleet over HTTP.

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

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// Pause between two looks at the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Routes that a node shows on its admin address.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Shown {
    /// Version in force.
    pub version: u64,
    /// Instances by service.
    pub routes: HashMap<String, Vec<String>>,
}

/// A client of the admin addresses of a fleet.
#[derive(Debug, Default)]
pub struct Remote {
    pool: Pool,
}

impl Remote {
    /// Returns the routes that a node shows; none when it does not answer.
    pub async fn routes(&self, server: &Server) -> Option<Shown> {
        let body = self.get(server.admin(), "/routes").await?;
        serde_json::from_slice::<Routes>(&body)
            .ok()
            .map(Shown::from)
    }

    /// Returns the metrics of a node as text; none when it does not answer.
    pub async fn metrics(&self, server: &Server) -> Option<String> {
        let body = self.get(server.admin(), "/metrics").await?;
        String::from_utf8(body.to_vec()).ok()
    }

    /// Records the routes that every node shows now.
    pub async fn record_routes(&self, layout: &Layout, history: &Writer) {
        for server in &layout.servers {
            let Some(shown) = self.routes(server).await else {
                continue;
            };
            let mut routes = new_event(Kind::Routes);
            routes.instance = Some(format!("node/{}", server.instance));
            routes.version = Some(shown.version);
            routes.routes = Some(shown.routes);
            history.write(routes);
        }
    }

    /// Waits until every node has a version in force and routes to every server.
    ///
    /// Returns the instances of the nodes that do not by the deadline.
    pub async fn wait_ready(
        &self,
        layout: &Layout,
        version: u64,
        deadline: Instant,
    ) -> BTreeSet<String> {
        loop {
            let mut waiting = BTreeSet::new();
            for server in &layout.servers {
                let shown = self.routes(server).await;
                if !shown.is_some_and(|shown| shown.is_ready(layout, version)) {
                    waiting.insert(server.instance.clone());
                }
            }
            if waiting.is_empty() || Instant::now() >= deadline {
                return waiting;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sets the faults of the platform, and returns whether it took them.
    pub async fn set_platform(&self, layout: &Layout, fault: &Fault) -> bool {
        self.post(layout.platform(), "/admin/fault", fault).await
    }

    /// Makes the link stand-in forward to every server and to the platform.
    pub async fn add_links(&self, layout: &Layout) -> bool {
        let platform = Forward {
            listen: layout.platform_of_nodes().to_string(),
            target: layout.platform().to_string(),
            domain: Layout::PLATFORM_DOMAIN.to_owned(),
        };
        let servers = layout.servers.iter();
        let forwards = servers.clone().map(|server| Forward {
            listen: layout.advertised(server).to_string(),
            target: server.peers().to_string(),
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
        self.post(layout.links(), "/links", &links).await
    }

    /// Sets one direction between two failure domains.
    pub async fn set_direction(&self, layout: &Layout, direction: &Direction) -> bool {
        self.post(layout.links(), "/direction", direction).await
    }

    /// Begins a drain of an upstream that goes on running, or ends it.
    pub async fn drain(&self, server: &Server, begins: bool) -> bool {
        let path = if begins {
            "/.standin/drain"
        } else {
            "/.standin/ready"
        };
        self.post(server.upstream(), path, &()).await
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        self.send(address, Method::GET, path, Bytes::new()).await
    }

    async fn post<T: Serialize>(&self, address: SocketAddr, path: &str, message: &T) -> bool {
        let body = rmp_serde::to_vec_named(message).expect("messages have an encoding");
        let answer = self.send(address, Method::POST, path, body.into()).await;
        answer.is_some()
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
            deadline: Instant::now() + TIMEOUT,
            max_body_bytes: ANSWER_LIMIT,
        };
        let answer = self.pool.exchange(exchange, request).await.ok()?;
        answer.status().is_success().then(|| answer.into_body())
    }
}

impl From<Routes> for Shown {
    fn from(shown: Routes) -> Self {
        let routes = shown.routes.into_iter().map(|route| {
            let endpoints = route.endpoints.into_iter();
            let instances = endpoints.map(|endpoint| endpoint.instance);
            (route.service, instances.collect())
        });
        Self {
            version: shown.version,
            routes: routes.collect(),
        }
    }
}

impl Shown {
    fn is_ready(&self, layout: &Layout, version: u64) -> bool {
        let mut wanted: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for server in &layout.servers {
            let instances = wanted.entry(&server.service).or_default();
            instances.insert(&server.instance);
        }
        let has_all = |(service, instances): (&&str, &BTreeSet<&str>)| {
            let shown = self.routes.get(*service);
            shown.is_some_and(|shown| {
                let shown: BTreeSet<&str> = shown.iter().map(String::as_str).collect();
                instances.is_subset(&shown)
            })
        };
        self.version >= version && wanted.iter().all(has_all)
    }
}
