//! A value with the ones before it.

use std::collections::VecDeque;

use bytes::Bytes;

use super::{Patch, patch::WHOLE_BYTES};

/// Earlier values that are kept.
///
/// A node that gathers changes is a few versions behind the one that it asks.
const MAX_EARLIER: usize = 4;

/// A value with the ones before it, from which other nodes get what differs.
#[derive(Debug, Default)]
pub struct ValueHistory {
    newest: Option<Bytes>,
    /// Hash of the newest value; zero without one.
    hash: u64,
    earlier: VecDeque<Version>,
}

/// An earlier value.
#[derive(Debug)]
struct Version {
    hash: u64,
    value: Bytes,
    /// The patch to the newest value, made once for all receivers.
    patch: Option<Patch>,
}

impl ValueHistory {
    /// Returns the newest value, or none before the first.
    #[must_use]
    pub fn newest(&self) -> Option<&Bytes> {
        self.newest.as_ref()
    }

    /// Returns the hash by which other nodes know that the newest value is held.
    ///
    /// Returns none for a value that is sent whole in any case.
    #[must_use]
    pub fn hash(&self) -> Option<u64> {
        let newest = self.newest.as_ref()?;
        (newest.len() > WHOLE_BYTES).then_some(self.hash)
    }

    /// Takes a newer value.
    pub fn push(&mut self, value: Bytes) {
        let hash = Patch::hash(&value);
        if self.newest.is_some() && self.hash == hash {
            return;
        }
        let had_hash = self.hash().is_some();
        for version in &mut self.earlier {
            version.patch = None;
        }
        if let Some(before) = self.newest.replace(value)
            && had_hash
        {
            self.earlier.push_front(Version {
                hash: self.hash,
                value: before,
                patch: None,
            });
            self.earlier.truncate(MAX_EARLIER);
        }
        self.hash = hash;
    }

    /// Returns the newest value for a receiver that holds values with some hashes.
    pub fn patch(&mut self, held: &[u64]) -> Option<Patch> {
        let newest = self.newest.as_ref()?;
        if newest.len() > WHOLE_BYTES && held.contains(&self.hash) {
            return Some(Patch::Same { hash: self.hash });
        }
        let mut earlier = self.earlier.iter_mut();
        let base = earlier.find(|version| held.contains(&version.hash));
        let Some(base) = base else {
            return Some(Patch::Whole(newest.clone()));
        };
        let patch = &mut base.patch;
        let made = patch.get_or_insert_with(|| Patch::between(&base.value, newest));
        Some(made.clone())
    }
}
