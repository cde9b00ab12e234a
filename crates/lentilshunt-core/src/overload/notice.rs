//! What an upstream has said of itself in its responses.

use std::collections::HashMap;

use super::Rate;
use crate::id::InstanceId;

/// Maximum number of upstreams whose notices are kept.
const MAX_NOTICES: usize = 4096;

/// What a process of an upstream has said of itself in its responses.
///
/// Nodes pass it on to each other with calls and replies. The node beside the upstream learns it
/// again from the callers if it has restarted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// Hash that identifies the process.
    pub process: u64,
    /// Its rate limit, if it has one.
    pub rate_limit: Option<Rate>,
}

/// Notices of other upstreams that this node has received.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    by_instance: HashMap<InstanceId, Notice>,
}

impl Notices {
    /// Returns what is known of the upstream of an instance.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<Notice> {
        self.by_instance.get(instance).copied()
    }

    /// Records the notice in the reply of an instance; `None` if there was none.
    pub fn record(&mut self, instance: &str, notice: Option<Notice>) {
        let notice = notice.filter(|notice| notice.rate_limit.is_some());
        match notice {
            None => drop(self.by_instance.remove(instance)),
            Some(notice) => {
                let is_known = self.by_instance.contains_key(instance);
                if is_known || self.by_instance.len() < MAX_NOTICES {
                    self.by_instance.insert(instance.to_owned(), notice);
                }
            }
        }
    }
}
