//! The organisations of one version of the rules.

use std::{
    collections::{BTreeMap, HashMap, hash_map::Entry},
    fmt,
    sync::Arc,
};

use blake3::Hash;

use super::{Identity, Key, Organisation};
use crate::id::OrganisationId;

/// Organisations of one version of the rules, by the hashes of their keys.
///
/// The hashes are keyed with a secret, and hashes are compared in constant time, so that the time
/// of a lookup does not depend on the keys that exist.
#[derive(Clone)]
pub struct Directory {
    secret: [u8; 32],
    /// Holder of each key; `None` if two organisations list it.
    holders: HashMap<Hash, Option<Arc<Organisation>>>,
    organisations: BTreeMap<OrganisationId, Arc<Organisation>>,
    /// Problems of the organisations that cannot be applied.
    problems: Vec<String>,
}

impl Directory {
    /// Creates a directory without organisations; `secret` should be random.
    #[must_use]
    pub fn new(secret: [u8; 32]) -> Self {
        Self {
            secret,
            holders: HashMap::new(),
            organisations: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    /// Adds an organisation with its keys.
    ///
    /// A key that another organisation lists as well identifies neither of the two.
    pub fn insert(&mut self, organisation: Organisation, keys: &[Key]) {
        let organisation = Arc::new(organisation);
        for key in keys {
            match self.holders.entry(hash(&self.secret, key)) {
                Entry::Vacant(vacant) => drop(vacant.insert(Some(Arc::clone(&organisation)))),
                Entry::Occupied(mut held) => {
                    let is_own = held
                        .get()
                        .as_ref()
                        .is_some_and(|holder| holder.name == organisation.name);
                    if !is_own {
                        held.insert(None);
                        let name = &organisation.name;
                        let problem =
                            format!("organisation {name:?} lists a key of another organisation");
                        self.problems.push(problem);
                    }
                }
            }
        }
        let name = Arc::clone(&organisation.name);
        self.organisations.insert(name, organisation);
    }

    /// Records an organisation that cannot be applied.
    ///
    /// Any key that is not known may be one of its keys.
    pub fn omit(&mut self, problem: String) {
        self.problems.push(problem);
    }

    /// Returns what is wrong with organisations of this version.
    #[must_use]
    pub fn problems(&self) -> &[String] {
        &self.problems
    }

    /// Returns whose request it is.
    #[must_use]
    pub fn identify(&self, key: Option<&Key>) -> Identity {
        let Some(key) = key else {
            return Identity::Unknown;
        };
        match self.holders.get(&hash(&self.secret, key)) {
            Some(Some(organisation)) => Identity::Known(Arc::clone(organisation)),
            None if self.problems.is_empty() => Identity::Unknown,
            Some(None) | None => Identity::Undecidable,
        }
    }

    /// Returns an organisation by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(name)
    }

    /// Returns the organisations in the order of their names.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.values()
    }
}

impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Directory")
            .field("organisations", &self.organisations)
            .field("problems", &self.problems)
            .finish_non_exhaustive()
    }
}

fn hash(secret: &[u8; 32], key: &Key) -> Hash {
    blake3::keyed_hash(secret, key.bytes())
}
