//! Claims the idempotency keys of requests.

use std::{sync::Arc, time::Duration};

use lentilshunt_core::{
    claim::{Bid, BidOutcome, CLAIM_LIFETIME, Claim, request_digest, row_key},
    id::{IdempotencyKey, Incarnation, InstanceId},
};
use lentilshunt_net::{call::Call, history::now_us, platform::Table};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout_at,
};

use super::{Batching, Committer, Resolver, committer::OutcomeSender};
use crate::executor::now;

/// Time limit for the outcome of a bid.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of bids that wait for the committer.
const QUEUE_CAPACITY: usize = 256;

/// Claims idempotency keys for the requests of one node.
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
    /// Other nodes query the outcome of claimed requests at `address`.
    #[must_use]
    pub fn start(
        instance: InstanceId,
        address: String,
        incarnation: Incarnation,
        table: Arc<dyn Table>,
        resolver: Arc<dyn Resolver>,
        batching: Batching,
    ) -> Self {
        let (bids, receiver) = mpsc::channel(QUEUE_CAPACITY);
        // The incarnation as the seed makes the jitter differ between nodes.
        tokio::spawn(Committer::new(table, batching, receiver, incarnation).run());
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
        let lifetime_us = u64::try_from(CLAIM_LIFETIME.as_micros()).unwrap_or(u64::MAX);
        let claim = Claim {
            request: call.request.clone(),
            instance: self.instance.clone(),
            address: self.address.clone(),
            incarnation: self.incarnation,
            digest: request_digest(&call.caller, method, &call.path, &call.body),
            expires_us: now_us().saturating_add(lifetime_us),
        };
        Bid {
            key: row_key(&call.service, key),
            claim,
            replaces: None,
        }
    }

    /// Submits a bid; returns `None` if its outcome is not known in time.
    ///
    /// An abandoned bid may still take effect. The runner therefore bars its request, so
    /// that other nodes can replace the claim.
    pub(in crate::executor) async fn submit(&self, bid: Bid, call: &Call) -> Option<BidOutcome> {
        let (sender, outcome) = oneshot::channel();
        let deadline = call.deadline.min(now() + CLAIM_TIMEOUT).into();
        timeout_at(deadline, self.bids.send((bid, sender)))
            .await
            .ok()?
            .ok()?;
        timeout_at(deadline, outcome).await.ok()?.ok()
    }

    /// Returns whether a claim was made by this incarnation of this node.
    pub(in crate::executor) fn is_from_this_incarnation(&self, claim: &Claim) -> bool {
        claim.instance == self.instance && claim.incarnation == self.incarnation
    }

    /// Returns the resolver for the claims of other nodes.
    pub(in crate::executor) fn resolver(&self) -> &dyn Resolver {
        &*self.resolver
    }
}
