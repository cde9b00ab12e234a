//! Difference between two configurations.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::Serialize;

use super::{Section, Service, Snapshot, Topology};

/// Changes from an older to a newer configuration, by section.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Sections that differ, sorted by name.
    pub sections: Vec<Change>,
}

/// Changes of one section.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Name of the section.
    pub section: String,
    /// Kind of change of the section as a whole.
    pub kind: Kind,
    /// Entries that differ, sorted by name.
    pub edits: Vec<Edit>,
}

/// Kind of change of a section.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Only the newer configuration contains the section.
    Added,
    /// Only the older configuration contains the section.
    Removed,
    /// Both configurations contain the section with different content.
    Changed,
}

/// Change of one entry of a section.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Name of the entry, for example `slots` or `caller patio`.
    pub entry: String,
    /// Older value; absent when the entry was added.
    pub old: Option<String>,
    /// Newer value; absent when the entry was removed.
    pub new: Option<String>,
}

/// Values of the entries of a section by name; an entry without a value has an empty one.
type Entries = BTreeMap<String, String>;

impl Difference {
    /// Compares an older and a newer configuration.
    #[must_use]
    pub fn between(old: &Snapshot, new: &Snapshot) -> Self {
        let (old, new) = (flatten_snapshot(old), flatten_snapshot(new));
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let changes = names.into_iter().filter_map(|name| {
            let (old, new) = (old.get(name), new.get(name));
            let kind = match (old, new) {
                (None, _) => Kind::Added,
                (_, None) => Kind::Removed,
                (Some(old), Some(new)) if old == new => return None,
                _ => Kind::Changed,
            };
            let empty = Entries::new();
            Some(Change {
                section: name.clone(),
                kind,
                edits: compare_entries(old.unwrap_or(&empty), new.unwrap_or(&empty)),
            })
        });
        Self {
            sections: changes.collect(),
        }
    }

    /// Returns whether the configurations are equal.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sections.is_empty()
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.sections {
            writeln!(f, "{change}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Added => "added",
            Kind::Removed => "removed",
            Kind::Changed => "changed",
        };
        write!(f, "{} {kind}", self.section)?;
        for edit in &self.edits {
            write!(f, "\n  {edit}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = &self.entry;
        match (self.old.as_deref(), self.new.as_deref()) {
            (Some(old), Some(new)) => write!(f, "~ {entry} = {old} -> {new}"),
            (None, Some("")) => write!(f, "+ {entry}"),
            (None, Some(new)) => write!(f, "+ {entry} = {new}"),
            (Some("") | None, None) => write!(f, "- {entry}"),
            (Some(old), None) => write!(f, "- {entry} = {old}"),
        }
    }
}

fn compare_entries(old: &Entries, new: &Entries) -> Vec<Edit> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| Edit {
            entry: name.clone(),
            old: old.get(name).cloned(),
            new: new.get(name).cloned(),
        })
        .collect()
}

fn flatten_snapshot(snapshot: &Snapshot) -> BTreeMap<String, Entries> {
    let mut sections = BTreeMap::new();
    sections.insert(
        Section::TOPOLOGY.to_owned(),
        topology_entries(&snapshot.topology),
    );
    for (name, content) in &snapshot.services {
        sections.insert(
            format!("{}{name}", Section::SERVICE_PREFIX),
            service_entries(content),
        );
    }
    sections
}

fn topology_entries(topology: &Topology) -> Entries {
    let regions = topology
        .regions
        .iter()
        .map(|region| (format!("region {region}"), String::new()));
    let domains = topology
        .domains
        .iter()
        .map(|(domain, region)| (format!("domain {domain}"), region.clone()));
    regions.chain(domains).collect()
}

fn service_entries(service: &Service) -> Entries {
    let mut entries = Entries::new();
    entries.insert("slots".to_owned(), service.slots.to_string());
    entries.insert("connections".to_owned(), service.connections.to_string());
    for caller in &service.callers {
        entries.insert(format!("caller {caller}"), String::new());
    }
    for pattern in &service.non_idempotent {
        let entry = format!("non-idempotent {} {}", pattern.method, pattern.path);
        entries.insert(entry, String::new());
    }
    entries
}
