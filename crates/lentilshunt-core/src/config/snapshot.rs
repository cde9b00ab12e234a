//! The compiled content of one version.

use std::collections::BTreeMap;

use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, ensure};

use super::{
    EncodingSnafu, Error, HashSnafu, Manifest, MissingSnafu, ReferenceSnafu, Section, Service,
    Topology, UnknownSnafu,
};
use crate::id::ServiceId;

/// Inventory and rules of one version, compiled for routing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Regions and failure domains.
    pub topology: Topology,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
}

impl Snapshot {
    /// Encodes the snapshot as its sections, in canonical order.
    #[must_use]
    pub fn sections(&self) -> Vec<Section> {
        let mut sections = vec![encode(Section::TOPOLOGY.to_owned(), &self.topology)];
        for (name, service) in &self.services {
            sections.push(encode(format!("{}{name}", Section::SERVICE), service));
        }
        sections
    }

    /// Returns the manifest of the snapshot's sections.
    #[must_use]
    pub fn manifest(&self) -> Manifest {
        let sections = self.sections();
        Manifest {
            sections: sections
                .into_iter()
                .map(|section| (section.name.clone(), section.digest()))
                .collect(),
        }
    }

    /// Builds and validates a snapshot from a manifest and section contents by hash.
    ///
    /// # Errors
    ///
    /// Returns an error when a section is missing, of unknown kind, does not
    /// have its hash or cannot be decoded, or when a reference names nothing.
    pub fn assemble(
        manifest: &Manifest,
        contents: &BTreeMap<String, Vec<u8>>,
    ) -> Result<Self, Error> {
        let mut snapshot = Self::default();
        let mut topology = None;
        for (name, digest) in &manifest.sections {
            let content = contents.get(digest).context(MissingSnafu { name })?;
            let found = super::manifest::hash(content);
            ensure!(
                &found == digest,
                HashSnafu {
                    what: "section",
                    expected: digest,
                    found
                }
            );
            if name == Section::TOPOLOGY {
                topology = Some(decode(content)?);
            } else if let Some(service) = name.strip_prefix(Section::SERVICE) {
                snapshot
                    .services
                    .insert(service.to_owned(), decode(content)?);
            } else {
                return UnknownSnafu { name }.fail();
            }
        }
        snapshot.topology = topology.context(MissingSnafu {
            name: Section::TOPOLOGY,
        })?;
        snapshot.validate()?;
        Ok(snapshot)
    }

    /// Checks that every reference names something in the snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Reference`] for the first reference to nothing.
    pub fn validate(&self) -> Result<(), Error> {
        for (domain, region) in &self.topology.domains {
            ensure!(
                self.topology.regions.contains(region),
                ReferenceSnafu {
                    from: format!("failure domain {domain}"),
                    to: format!("region {region}"),
                }
            );
        }
        Ok(())
    }
}

fn encode<T: Serialize>(name: String, value: &T) -> Section {
    let content = rmp_serde::to_vec(value).expect("a section has an encoding");
    Section { name, content }
}

fn decode<T: DeserializeOwned>(content: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(content).context(EncodingSnafu { what: "section" })
}
