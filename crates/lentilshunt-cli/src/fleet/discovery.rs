//! Discovers nodes and queries each of them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Request;
use lentilshunt_net::http::{Exchange, Pool};
use lentilshunt_schema::operate::{Members, Routes, Status};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};
use tokio::{sync::Semaphore, task::JoinSet};

use super::{
    Error, Node,
    error::{DecodeSnafu, RefusedSnafu, UnreachableSnafu},
};

/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of concurrent queries.
const MAX_CONCURRENT_QUERIES: usize = 32;
/// Number of nodes of each failure domain that are queried for their member list.
const SOURCES_PER_DOMAIN: usize = 2;
/// Path prefix of the operator endpoints of a node.
const OPERATE_PREFIX: &str = "/.lentilshunt/operate";

/// Client of the operator endpoints of all nodes.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pool: Arc<Pool>,
}

impl Fleet {
    /// Queries all known nodes and the members that they report.
    ///
    /// Returns one node for each instance, sorted by instance.
    pub async fn discover(&self, known: Vec<Node>, seeds: Vec<SocketAddr>) -> Vec<Node> {
        let seeds = seeds.into_iter().map(Node::from_address);
        let first = self
            .query_all(known.into_iter().chain(seeds).collect())
            .await;
        let mut nodes = by_instance(first);
        let sources = member_sources(nodes.values());
        let mut found = Vec::new();
        for source in sources {
            let members = self.query::<Members>(source, "members").await;
            let members = members.map_or_else(|_unreachable| Vec::new(), |list| list.members);
            let reported = members.iter().filter_map(Node::from_member);
            found.extend(reported.filter(|node| !nodes.contains_key(&node.instance)));
        }
        let found = by_instance(found).into_values().collect();
        nodes.extend(by_instance(self.query_all(found).await));
        nodes.into_values().collect()
    }

    /// Queries a node for its route table.
    ///
    /// # Errors
    ///
    /// Returns an error when the node does not respond in time, refuses the query, or
    /// sends a response that cannot be decoded.
    pub async fn routes(&self, node: SocketAddr) -> Result<Routes, Error> {
        self.query(node, "routes").await
    }

    async fn query_all(&self, nodes: Vec<Node>) -> Vec<Node> {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_QUERIES));
        let mut queries = JoinSet::new();
        for mut node in nodes {
            let (fleet, permits) = (self.clone(), Arc::clone(&permits));
            queries.spawn(async move {
                let _permit = permits.acquire().await;
                if let Ok(status) = fleet.query::<Status>(node.address, "status").await {
                    node.apply_status(status);
                }
                node
            });
        }
        queries.join_all().await
    }

    async fn query<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        endpoint: &str,
    ) -> Result<T, Error> {
        let mut request = Request::new(Bytes::new());
        let path = format!("{OPERATE_PREFIX}/{endpoint}");
        *request.uri_mut() = path.parse().expect("the path is a valid URI");
        let exchange = Exchange {
            address,
            deadline: Instant::now() + QUERY_TIMEOUT,
            max_body_bytes: MAX_RESPONSE_BYTES,
        };
        let response = self.pool.exchange(exchange, request).await;
        let response = response.context(UnreachableSnafu)?;
        let status = response.status();
        ensure!(status.is_success(), RefusedSnafu { address, status });
        serde_json::from_slice(response.body()).context(DecodeSnafu { address })
    }
}

/// Selects the nodes that are queried for their member list.
fn member_sources<'a>(nodes: impl Iterator<Item = &'a Node>) -> Vec<SocketAddr> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut sources = Vec::new();
    for node in nodes.filter(|node| node.version.is_some()) {
        let count = counts.entry(&node.domain).or_default();
        if *count < SOURCES_PER_DOMAIN {
            *count += 1;
            sources.push(node.address);
        }
    }
    sources
}

/// Keeps one node for each instance, preferring one that responded.
fn by_instance(nodes: Vec<Node>) -> BTreeMap<String, Node> {
    let mut kept: BTreeMap<String, Node> = BTreeMap::new();
    for node in nodes {
        let name = if node.instance.is_empty() {
            node.address.to_string()
        } else {
            node.instance.clone()
        };
        let has_responded = kept.get(&name).is_some_and(|kept| kept.version.is_some());
        if !has_responded {
            kept.insert(name, node);
        }
    }
    kept
}
