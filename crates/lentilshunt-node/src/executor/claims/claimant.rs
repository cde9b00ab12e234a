//! Claims the key of one request.

use std::{sync::Arc, time::Duration};

use lentilshunt_core::{
    claim::{Bid, Claim, RESEND_HORIZON, Settlement, fingerprint, row_key},
    id::{IdempotencyKey, Incarnation, InstanceId},
};
use lentilshunt_net::{call::Call, history::now_us, platform::Table};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout_at,
};

use super::{Batching, Committer, Resolver, committer::OutcomeSender};
use crate::executor::now;

/// Longest wait for the platform to take a claim.
const PATIENCE: Duration = Duration::from_secs(3);
/// Bids that wait for the committer.
const QUEUE_BIDS: usize = 256;

/// Claims keys for the requests of one node.
#[derive(Debug)]
pub struct Claimant {
    instance: InstanceId,
    address: String,
    incarnation: Incarnation,
    bids: mpsc::Sender<(Bid, OutcomeSender)>,
    resolver: Arc<dyn Resolver>,
}

impl Claimant {
    /// Creates a claimant and starts its committer on the current runtime.
    ///
    /// `address` is the one at which other nodes ask this one.
    #[must_use]
    pub fn start(
        instance: InstanceId,
        address: String,
        incarnation: Incarnation,
        table: Arc<dyn Table>,
        resolver: Arc<dyn Resolver>,
        batching: Batching,
    ) -> Self {
        let (bids, received) = mpsc::channel(QUEUE_BIDS);
        tokio::spawn(Committer::new(table, batching, received, incarnation).run());
        Self {
            instance,
            address,
            incarnation,
            bids,
            resolver,
        }
    }

    /// Returns the bid for the key of a call.
    pub(in crate::executor) fn bid(&self, call: &Call, key: &IdempotencyKey) -> Bid {
        let method = call.method.as_str();
        let horizon = u64::try_from(RESEND_HORIZON.as_micros()).unwrap_or(u64::MAX);
        let claim = Claim {
            request: call.request.clone(),
            instance: self.instance.clone(),
            address: self.address.clone(),
            incarnation: self.incarnation,
            digest: fingerprint(&call.caller, method, &call.path, &call.body),
            expires_us: now_us().saturating_add(horizon),
        };
        Bid {
            key: row_key(&call.service, key),
            claim,
            replaces: None,
        }
    }

    /// Makes a bid; returns none when the platform does not take it in time.
    ///
    /// A bid that was given up may still take effect. Its request must be
    /// barred, so that others can replace the claim.
    pub(in crate::executor) async fn submit(&self, bid: Bid, call: &Call) -> Option<Settlement> {
        let (sender, settlement) = oneshot::channel();
        let until = call.deadline.min(now() + PATIENCE).into();
        timeout_at(until, self.bids.send((bid, sender)))
            .await
            .ok()?
            .ok()?;
        timeout_at(until, settlement).await.ok()?.ok()
    }

    /// Returns whether a claim was made by this incarnation of this node.
    pub(in crate::executor) fn is_from_this_node(&self, claim: &Claim) -> bool {
        claim.instance == self.instance && claim.incarnation == self.incarnation
    }

    /// Returns the border to the holders of claims.
    pub(in crate::executor) fn resolver(&self) -> &dyn Resolver {
        &*self.resolver
    }
}
