//! Report of the versions in force, by failure domain.

use std::{collections::BTreeMap, fmt};

use lentilshunt_core::{
    config::Head,
    id::{DomainId, RegionId, VersionId},
};
use serde::Serialize;

use super::Node;

/// Versions in force of all nodes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Newest head; `None` when the platform did not respond.
    pub head: Option<Head>,
    /// Newest version, of the head or of any node.
    pub newest: VersionId,
    /// Nodes by failure domain.
    pub domains: Vec<Domain>,
}

/// The nodes of one failure domain.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Domain {
    /// Name of the failure domain; empty for nodes of which only the address is known.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Number of nodes that have the newest version in force.
    pub current: usize,
    /// Nodes that have an older version in force.
    pub lagging: Vec<Node>,
    /// Nodes that did not respond.
    pub unreachable: Vec<Node>,
}

impl Report {
    /// Groups nodes by failure domain and version.
    #[must_use]
    pub fn new(head: Option<Head>, nodes: Vec<Node>) -> Self {
        let accepted = head.as_ref().map_or(0, |head| head.version);
        let versions = nodes.iter().filter_map(|node| node.version);
        let newest = versions.fold(accepted, VersionId::max);
        let mut domains: BTreeMap<(RegionId, DomainId), Domain> = BTreeMap::new();
        for node in nodes {
            let key = (node.region.clone(), node.domain.clone());
            let domain = domains.entry(key).or_insert_with(|| Domain {
                domain: node.domain.clone(),
                region: node.region.clone(),
                current: 0,
                lagging: Vec::new(),
                unreachable: Vec::new(),
            });
            match node.version {
                None => domain.unreachable.push(node),
                Some(version) if version < newest => domain.lagging.push(node),
                Some(_) => domain.current += 1,
            }
        }
        Self {
            head,
            newest,
            domains: domains.into_values().collect(),
        }
    }

    /// Returns whether nodes were found and all of them have the newest version in force.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        let has_converged =
            |domain: &Domain| domain.lagging.is_empty() && domain.unreachable.is_empty();
        self.head.is_some() && !self.domains.is_empty() && self.domains.iter().all(has_converged)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.head {
            Some(head) => writeln!(f, "head {} {}", head.version, head.digest)?,
            None => writeln!(
                f,
                "platform not available; newest version on any node {}",
                self.newest
            )?,
        }
        if self.domains.is_empty() {
            writeln!(f, "no node found; specify one with --node")?;
        }
        for domain in &self.domains {
            write!(f, "{domain}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Domain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = if self.domain.is_empty() {
            "(unknown)"
        } else {
            &self.domain
        };
        let (lagging, unreachable) = (self.lagging.len(), self.unreachable.len());
        writeln!(
            f,
            "{name} {}: {} current, {lagging} lagging, {unreachable} unreachable",
            self.region, self.current
        )?;
        for node in &self.lagging {
            let version = node.version.unwrap_or_default();
            let (instance, address) = (&node.instance, node.address);
            writeln!(f, "  lagging {instance} {address} version {version}")?;
        }
        for node in &self.unreachable {
            writeln!(f, "  unreachable {} {}", node.instance, node.address)?;
        }
        Ok(())
    }
}
