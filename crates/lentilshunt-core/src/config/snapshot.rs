//! Compiled content of one version.

use std::collections::BTreeMap;

use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, ensure};

use super::{
    CanonicalSnafu, EncodingSnafu, Error, HashSnafu, Manifest, MissingSnafu, Section, Service,
    Topology, UnknownSnafu, limit::MAX_SECTION_BYTES, manifest::check_length, validation::validate,
};
use crate::{encoding, id::ServiceId};

/// Inventory and rules of one version, compiled for routing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Regions and failure domains.
    pub topology: Topology,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
}

impl Snapshot {
    /// Encodes the snapshot as sections, in canonical order.
    #[must_use]
    pub fn sections(&self) -> Vec<Section> {
        let mut sections = vec![encode(Section::TOPOLOGY.to_owned(), &self.topology)];
        for (name, service) in &self.services {
            sections.push(encode(
                format!("{}{name}", Section::SERVICE_PREFIX),
                service,
            ));
        }
        sections
    }

    /// Returns the manifest of the sections.
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

    /// Builds and validates a snapshot from a manifest and the section contents by hash.
    ///
    /// # Errors
    ///
    /// Returns an error if a section is missing, has an unknown kind, does not
    /// match its hash or cannot be decoded, or if the snapshot is not valid.
    pub fn assemble(
        manifest: &Manifest,
        contents: &BTreeMap<String, Vec<u8>>,
    ) -> Result<Self, Error> {
        let mut snapshot = Self::default();
        let mut topology = None;
        for (name, digest) in &manifest.sections {
            let content = contents.get(digest).context(MissingSnafu { name })?;
            check_length("section", content, MAX_SECTION_BYTES)?;
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
            } else if let Some(service) = name.strip_prefix(Section::SERVICE_PREFIX) {
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

    /// Checks names, values, counts and references of the whole snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid item.
    pub fn validate(&self) -> Result<(), Error> {
        validate(self)
    }
}

fn encode<T: Serialize>(name: String, value: &T) -> Section {
    let content = rmp_serde::to_vec(value).expect("a section can be encoded");
    Section { name, content }
}

fn decode<T: DeserializeOwned + Serialize>(content: &[u8]) -> Result<T, Error> {
    let what = "section";
    let value: T = encoding::decode(content).context(EncodingSnafu { what })?;
    let is_canonical = encode(String::new(), &value).content == content;
    ensure!(is_canonical, CanonicalSnafu { what });
    Ok(value)
}
