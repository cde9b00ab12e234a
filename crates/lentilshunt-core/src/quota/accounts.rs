//! Accounts of all organisations at the accountant.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use super::{ALL, Limit, Reply, Report, account::Account};
use crate::{
    id::{InstanceId, OrganisationId},
    organisation::Directory,
};

/// Time after its last report for which a node's part of the quotas is here.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// Accounts of all organisations, at the node that others report to.
///
/// The part of the quotas that is given out here is that of the nodes which report here.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    accounts: BTreeMap<OrganisationId, Account>,
    reported_at: HashMap<InstanceId, Instant>,
}

impl Accounts {
    /// Adds what a node has used, and returns which organisations are limited.
    ///
    /// `node_count` is the number of nodes in the fleet.
    pub fn settle(
        &mut self,
        report: &Report,
        organisations: &Directory,
        node_count: usize,
        now: Instant,
    ) -> Reply {
        self.reported_at.insert(report.node.clone(), now);
        self.reported_at
            .retain(|_, reported_at| now.saturating_duration_since(*reported_at) < REPORT_LIFETIME);
        self.accounts
            .retain(|name, _| organisations.get(name).is_some());
        for usage in &report.usages {
            let organisation = organisations.get(&usage.organisation);
            if let Some((organisation, quota)) =
                organisation.and_then(|organisation| Some((organisation, organisation.quota?)))
            {
                let name = Arc::clone(&organisation.name);
                let account = self.accounts.entry(name);
                let account = account.or_insert_with(|| Account::new(&quota, now));
                account.record(usage, now);
            }
        }
        Reply {
            limits: self.limits(organisations, node_count, now),
        }
    }

    fn limits(&mut self, organisations: &Directory, node_count: usize, now: Instant) -> Vec<Limit> {
        let part = part(self.reported_at.len(), node_count);
        let accounts = self.accounts.iter_mut();
        accounts
            .filter_map(|(name, account)| {
                let quota = organisations.get(name)?.quota?;
                let share = account.share(&quota, part, now);
                (share < ALL).then(|| Limit {
                    organisation: name.to_string(),
                    share,
                })
            })
            .collect()
    }
}

/// Returns the part of a quota that belongs to `reporting` nodes of `all`.
#[allow(
    clippy::cast_precision_loss,
    reason = "fleets have fewer nodes than f64 has exact integers"
)]
fn part(reporting: usize, all: usize) -> f64 {
    (reporting as f64 / all.max(reporting).max(1) as f64).min(1.0)
}
