//! A value and its previous versions.

use std::collections::VecDeque;

use bytes::Bytes;

use super::{Patch, patch::MAX_FULL_BYTES};

/// Maximum number of previous versions.
///
/// A node that batches changes is a few versions behind the node that it requests them from.
const MAX_PREVIOUS: usize = 4;

/// A value and its previous versions, against which patches are computed.
#[derive(Debug, Default)]
pub struct ValueHistory {
    newest: Option<Bytes>,
    /// Hash of the newest value; zero without a value.
    hash: u64,
    previous: VecDeque<Version>,
}

/// A previous version of the value.
#[derive(Debug)]
struct Version {
    hash: u64,
    value: Bytes,
    /// Patch to the newest value, computed once for all receivers.
    patch: Option<Patch>,
}

impl ValueHistory {
    /// Returns the newest value, or none before the first.
    #[must_use]
    pub fn newest(&self) -> Option<&Bytes> {
        self.newest.as_ref()
    }

    /// Returns the hash that identifies the newest value in requests to other nodes.
    ///
    /// Returns none for a value that is always sent in full.
    #[must_use]
    pub fn hash(&self) -> Option<u64> {
        let newest = self.newest.as_ref()?;
        (newest.len() > MAX_FULL_BYTES).then_some(self.hash)
    }

    /// Adds a newer value.
    pub fn push(&mut self, value: Bytes) {
        let hash = Patch::hash(&value);
        if self.newest.is_some() && self.hash == hash {
            return;
        }
        let had_hash = self.hash().is_some();
        for version in &mut self.previous {
            version.patch = None;
        }
        if let Some(replaced) = self.newest.replace(value)
            && had_hash
        {
            self.previous.push_front(Version {
                hash: self.hash,
                value: replaced,
                patch: None,
            });
            self.previous.truncate(MAX_PREVIOUS);
        }
        self.hash = hash;
    }

    /// Returns a patch to the newest value for a receiver that has values with the given hashes.
    pub fn patch(&mut self, cached_hashes: &[u64]) -> Option<Patch> {
        let newest = self.newest.as_ref()?;
        if newest.len() > MAX_FULL_BYTES && cached_hashes.contains(&self.hash) {
            return Some(Patch::Same { hash: self.hash });
        }
        let mut previous = self.previous.iter_mut();
        let base = previous.find(|version| cached_hashes.contains(&version.hash));
        let Some(base) = base else {
            return Some(Patch::Whole(newest.clone()));
        };
        let patch = &mut base.patch;
        let patch = patch.get_or_insert_with(|| Patch::between(&base.value, newest));
        Some(patch.clone())
    }
}
