//! Copy-on-write map with lock-free reads.

use std::{collections::HashMap, sync::Arc};

use arc_swap::{ArcSwap, Guard};
use rapidhash::fast::RandomState;

/// Immutable map that readers load.
pub(crate) type Entries<T> = HashMap<String, Arc<T>, RandomState>;

/// Shared values by name; a write copies the map, and a read never blocks.
#[derive(Debug)]
pub(crate) struct SharedMap<T> {
    entries: ArcSwap<Entries<T>>,
}

impl<T> Default for SharedMap<T> {
    fn default() -> Self {
        Self {
            entries: ArcSwap::default(),
        }
    }
}

impl<T> SharedMap<T> {
    /// Returns the current map.
    pub(crate) fn load(&self) -> Guard<Arc<Entries<T>>> {
        self.entries.load()
    }

    /// Returns the value for a name.
    pub(crate) fn get(&self, name: &str) -> Option<Arc<T>> {
        self.entries.load().get(name).map(Arc::clone)
    }

    /// Returns the value for a name if `keep` accepts it, and otherwise replaces it with `value`.
    ///
    /// An insertion also removes every value that `retain` rejects.
    pub(crate) fn get_or_insert(
        &self,
        name: &str,
        value: T,
        keep: impl Fn(&T) -> bool,
        retain: impl Fn(&T) -> bool,
    ) -> Arc<T> {
        if let Some(kept) = self.get(name).filter(|kept| keep(kept)) {
            return kept;
        }
        let value = Arc::new(value);
        self.entries.rcu(|entries| {
            let mut changed: Entries<T> = entries
                .iter()
                .filter(|(_, entry)| retain(entry))
                .map(|(name, entry)| (name.clone(), Arc::clone(entry)))
                .collect();
            match changed.get(name) {
                Some(present) if keep(present) => {}
                _ => drop(changed.insert(name.to_owned(), Arc::clone(&value))),
            }
            changed
        });
        self.get(name).unwrap_or(value)
    }
}
