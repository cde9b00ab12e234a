//! What changed from one configuration to another.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::Serialize;

use super::{Section, Service, Snapshot, Topology};

/// Everything that differs between two configurations, section by section.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Sections that differ, in the order of their names.
    pub sections: Vec<Change>,
}

/// How one section differs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Name of the section.
    pub section: String,
    /// What became of the section as a whole.
    pub kind: Kind,
    /// Entries that differ, in the order of their names.
    pub edits: Vec<Edit>,
}

/// What became of a section.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Only the newer configuration has it.
    Added,
    /// Only the older configuration has it.
    Removed,
    /// Both have it with different content.
    Changed,
}

/// One entry of a section that differs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Name of the entry, for example `slots` or `caller patio`.
    pub entry: String,
    /// Older value; absent when the entry was added.
    pub old: Option<String>,
    /// Newer value; absent when the entry was removed.
    pub new: Option<String>,
}

/// Entries of a section by their names; entries that only exist have an empty value.
type Entries = BTreeMap<String, String>;

impl Difference {
    /// Compares two configurations.
    #[must_use]
    pub fn between(old: &Snapshot, new: &Snapshot) -> Self {
        let (old, new) = (flatten(old), flatten(new));
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
                edits: edits(old.unwrap_or(&empty), new.unwrap_or(&empty)),
            })
        });
        Self {
            sections: changes.collect(),
        }
    }

    /// Returns whether the configurations are the same.
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

fn edits(old: &Entries, new: &Entries) -> Vec<Edit> {
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

fn flatten(snapshot: &Snapshot) -> BTreeMap<String, Entries> {
    let mut sections = BTreeMap::new();
    sections.insert(Section::TOPOLOGY.to_owned(), topology(&snapshot.topology));
    for (name, content) in &snapshot.services {
        sections.insert(format!("{}{name}", Section::SERVICE), service(content));
    }
    sections
}

fn topology(topology: &Topology) -> Entries {
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

fn service(service: &Service) -> Entries {
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
