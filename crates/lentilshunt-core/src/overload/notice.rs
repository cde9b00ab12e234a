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
    /// Whether it leaves and wants no further requests.
    pub is_leaving: bool,
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
    ///
    /// A process that leaves does not stay, even if a reply that was delayed does not say so.
    pub fn record(&mut self, instance: &str, notice: Option<Notice>) {
        let known = self.get(instance);
        let is_same = |known: &Notice| notice.is_none_or(|notice| notice.process == known.process);
        let leaving = known.filter(|known| known.is_leaving && is_same(known));
        let notice = match (notice, leaving) {
            (Some(notice), leaving) => Some(Notice {
                is_leaving: notice.is_leaving || leaving.is_some(),
                ..notice
            }),
            (None, leaving) => leaving,
        };
        match notice.filter(|notice| notice.rate_limit.is_some() || notice.is_leaving) {
            None => drop(self.by_instance.remove(instance)),
            Some(notice) => {
                if known.is_some() || self.by_instance.len() < MAX_NOTICES {
                    self.by_instance.insert(instance.to_owned(), notice);
                }
            }
        }
    }
}
