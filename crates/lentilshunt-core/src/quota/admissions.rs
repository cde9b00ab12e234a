//! Whether a node admits a request of an organisation.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{ALL, Permille, Reply, Usage, bucket::Bucket};
use crate::{
    id::OrganisationId,
    organisation::{Organisation, Quota},
};

/// Time for which the reply of an accountant is valid.
const REPLY_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum number of organisations whose usage is kept.
const MAX_ORGANISATIONS: usize = 16 * 1024;

/// Requests that a node has admitted, and what the accountant allows.
#[derive(Clone, Debug, Default)]
pub struct Admissions {
    by_organisation: HashMap<OrganisationId, Admission>,
    /// End of the validity of the last reply; `None` before the first.
    reply_expires_at: Option<Instant>,
}

/// Requests of one organisation at this node.
#[derive(Clone, Debug)]
struct Admission {
    asked: u32,
    admitted: i32,
    share: Permille,
    /// Tokens of this node while it has no accountant.
    own: Bucket,
}

impl Admissions {
    /// Returns whether a request may pass, and counts it.
    ///
    /// `random` is uniformly distributed. `node_count` is the number of nodes in the fleet.
    pub fn admit(
        &mut self,
        organisation: &Organisation,
        node_count: usize,
        random: u32,
        now: Instant,
    ) -> bool {
        let Some(quota) = organisation.quota else {
            return true;
        };
        let has_reply = self.reply_expires_at.is_some_and(|until| now < until);
        let own_quota = own_quota(&quota, node_count);
        let is_full = self.by_organisation.len() >= MAX_ORGANISATIONS;
        if is_full && !self.by_organisation.contains_key(&organisation.name) {
            self.by_organisation.clear();
        }
        let admission = self
            .by_organisation
            .entry(Arc::clone(&organisation.name))
            .or_insert_with(|| Admission {
                asked: 0,
                admitted: 0,
                share: ALL,
                own: Bucket::new(own_quota.burst, now),
            });
        admission.asked = admission.asked.saturating_add(1);
        let own_tokens = admission.own.refill(&own_quota, now);
        let may_pass = if has_reply {
            random % u32::from(ALL) < u32::from(admission.share)
        } else {
            own_tokens >= 1.0
        };
        if may_pass {
            admission.admitted = admission.admitted.saturating_add(1);
            if own_tokens >= 1.0 {
                admission.own.charge(1.0);
            }
        }
        may_pass
    }

    /// Gives back the token of a request that was refused without having been run.
    pub fn refund(&mut self, organisation: &str) {
        if let Some(admission) = self.by_organisation.get_mut(organisation) {
            admission.admitted = admission.admitted.saturating_sub(1);
            admission.own.charge(-1.0);
        }
    }

    /// Returns and forgets what has been used since the last call.
    pub fn take_usages(&mut self) -> Vec<Usage> {
        let admissions = self.by_organisation.iter_mut();
        admissions
            .filter(|(_, admission)| admission.asked > 0 || admission.admitted != 0)
            .map(|(name, admission)| Usage {
                organisation: name.to_string(),
                asked: std::mem::take(&mut admission.asked),
                admitted: std::mem::take(&mut admission.admitted),
            })
            .collect()
    }

    /// Counts usages again that no accountant has received.
    pub fn restore_usages(&mut self, usages: Vec<Usage>) {
        for usage in usages {
            if let Some(admission) = self.by_organisation.get_mut(&*usage.organisation) {
                admission.asked = admission.asked.saturating_add(usage.asked);
                admission.admitted = admission.admitted.saturating_add(usage.admitted);
            }
        }
    }

    /// Applies the reply of the accountant to a report sent at `sent_at`.
    pub fn apply(&mut self, reply: &Reply, sent_at: Instant) {
        self.reply_expires_at = Some(sent_at + REPLY_LIFETIME);
        for admission in self.by_organisation.values_mut() {
            admission.share = ALL;
        }
        for limit in &reply.limits {
            let known = self.by_organisation.get_mut(&*limit.organisation);
            if let Some(admission) = known {
                admission.share = limit.share;
            } else if self.by_organisation.len() < MAX_ORGANISATIONS {
                let admission = Admission {
                    asked: 0,
                    admitted: 0,
                    share: limit.share,
                    own: Bucket::new(1.0, sent_at),
                };
                let name = limit.organisation.as_str().into();
                self.by_organisation.insert(name, admission);
            }
        }
    }
}

/// Returns the part of one node in a quota; at least one request may come after a pause.
#[allow(
    clippy::cast_precision_loss,
    reason = "fleets have fewer nodes than f64 has exact integers"
)]
fn own_quota(quota: &Quota, node_count: usize) -> Quota {
    let nodes = node_count.max(1) as f64;
    Quota {
        rate: quota.rate / nodes,
        burst: (quota.burst / nodes).max(1.0),
    }
}
