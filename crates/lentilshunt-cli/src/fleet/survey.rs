//! Finds nodes and asks each of them.

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

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// Nodes that are asked at a time.
const CONCURRENCY: usize = 32;
/// Nodes of each failure domain that are asked for the members that they know.
const MEMBER_SOURCES: usize = 2;
/// Start of the paths at which a node answers operators.
const PREFIX: &str = "/.lentilshunt/operate";

/// The nodes of a fleet, as an operator reaches them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pool: Arc<Pool>,
}

impl Fleet {
    /// Asks every node that is known or that others know, and returns them by instance.
    pub async fn survey(&self, known: Vec<Node>, seeds: Vec<SocketAddr>) -> Vec<Node> {
        let seeds = seeds.into_iter().map(Node::at);
        let first = self.ask_all(known.into_iter().chain(seeds).collect()).await;
        let mut nodes = by_instance(first);
        let sources = sources(nodes.values());
        let mut found = Vec::new();
        for source in sources {
            let members = self.ask::<Members>(source, "members").await;
            let members = members.map_or_else(|_unreachable| Vec::new(), |list| list.members);
            let named = members.iter().filter_map(Node::from_member);
            found.extend(named.filter(|node| !nodes.contains_key(&node.instance)));
        }
        let found = by_instance(found).into_values().collect();
        nodes.extend(by_instance(self.ask_all(found).await));
        nodes.into_values().collect()
    }

    /// Asks a node for its route table.
    ///
    /// # Errors
    ///
    /// Returns an error when the node does not answer in time or not as it should.
    pub async fn routes(&self, node: SocketAddr) -> Result<Routes, Error> {
        self.ask(node, "routes").await
    }

    async fn ask_all(&self, nodes: Vec<Node>) -> Vec<Node> {
        let permits = Arc::new(Semaphore::new(CONCURRENCY));
        let mut asking = JoinSet::new();
        for mut node in nodes {
            let (fleet, permits) = (self.clone(), Arc::clone(&permits));
            asking.spawn(async move {
                let _permit = permits.acquire().await;
                if let Ok(status) = fleet.ask::<Status>(node.address, "status").await {
                    node.answered(status);
                }
                node
            });
        }
        asking.join_all().await
    }

    async fn ask<T: DeserializeOwned>(&self, address: SocketAddr, what: &str) -> Result<T, Error> {
        let mut request = Request::new(Bytes::new());
        let path = format!("{PREFIX}/{what}");
        *request.uri_mut() = path.parse().expect("paths of nodes are URIs");
        let exchange = Exchange {
            address,
            deadline: Instant::now() + TIMEOUT,
            max_body_bytes: ANSWER_LIMIT,
        };
        let answer = self.pool.exchange(exchange, request).await;
        let answer = answer.context(UnreachableSnafu)?;
        let status = answer.status();
        ensure!(status.is_success(), RefusedSnafu { address, status });
        serde_json::from_slice(answer.body()).context(DecodeSnafu { address })
    }
}

/// Chooses the nodes that are asked for the members that they know.
fn sources<'a>(nodes: impl Iterator<Item = &'a Node>) -> Vec<SocketAddr> {
    let mut chosen: BTreeMap<&str, usize> = BTreeMap::new();
    let mut sources = Vec::new();
    for node in nodes.filter(|node| node.version.is_some()) {
        let count = chosen.entry(&node.domain).or_default();
        if *count < MEMBER_SOURCES {
            *count += 1;
            sources.push(node.address);
        }
    }
    sources
}

/// Keeps one node for each instance, rather one that answered.
fn by_instance(nodes: Vec<Node>) -> BTreeMap<String, Node> {
    let mut kept: BTreeMap<String, Node> = BTreeMap::new();
    for node in nodes {
        let name = if node.instance.is_empty() {
            node.address.to_string()
        } else {
            node.instance.clone()
        };
        let answered = kept.get(&name).is_some_and(|kept| kept.version.is_some());
        if !answered {
            kept.insert(name, node);
        }
    }
    kept
}
