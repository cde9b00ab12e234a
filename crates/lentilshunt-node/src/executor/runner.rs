//! Runs requests on the local upstream.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use lentilshunt_core::{
    admission::Precedence,
    claim::{Bid, BidOutcome, ConflictAction, StoredClaim, resolve_conflict},
    execution::{Capacity, Ledger, Resolution},
    id::IdempotencyKey,
    verdict::{Reason, Verdict},
};
use lentilshunt_net::call::{Call, Reply};
use lentilshunt_schema::peer::{Announcement, Phase};
use tokio_util::sync::CancellationToken;

use super::{
    Transport, Upstream,
    claims::Claimant,
    gate::{Gate, Slot},
    ledger_guard::LedgerGuard,
    lock, now,
};
use crate::context::Context;

/// Time after which an upstream without a new announcement counts as not ready.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(1200);

/// Time after the first announcement of a drain in which admitted requests can still start.
const DRAIN_START_WINDOW: Duration = Duration::from_secs(1);

/// Initial delay before the holder of a claim is queried again.
const MIN_HOLDER_POLL_DELAY: Duration = Duration::from_millis(5);
/// Maximum delay before the holder of a claim is queried again.
const MAX_HOLDER_POLL_DELAY: Duration = Duration::from_millis(100);

/// Decides which requests run on the upstream, and runs them.
#[derive(Debug)]
pub(super) struct Runner {
    context: Arc<Context>,
    transport: Arc<dyn Transport>,
    claimant: Option<Claimant>,
    upstream: ArcSwapOption<Upstream>,
    ledger: Mutex<Ledger<Reply>>,
    gate: Arc<Gate>,
}

impl Runner {
    pub(super) fn new(
        context: Arc<Context>,
        transport: Arc<dyn Transport>,
        claimant: Option<Claimant>,
    ) -> Self {
        let gate = Gate::new(context.settings.calls.queue);
        Self {
            context,
            transport,
            claimant,
            upstream: ArcSwapOption::empty(),
            ledger: Mutex::new(Ledger::new(Capacity::default())),
            gate: Arc::new(gate),
        }
    }

    /// Applies an announcement of the upstream; ignores one with a malformed address.
    pub(super) fn apply_announcement(&self, announcement: &Announcement) {
        let Ok(address) = announcement.address.parse() else {
            return;
        };
        self.upstream.store(Some(Arc::new(Upstream {
            address,
            phase: announcement.phase,
            closes_at: self.closes_at(announcement.phase),
            expires_at: now() + ANNOUNCEMENT_LIFETIME,
        })));
        let slots = announcement.slots.min(announcement.connections);
        self.gate.resize(slots);
    }

    /// Returns the time after which an upstream in a phase starts no further request.
    fn closes_at(&self, phase: Phase) -> Option<Instant> {
        if phase != Phase::Draining {
            return None;
        }
        let previous = self.upstream.load();
        let closes_at = previous.as_ref().and_then(|previous| previous.closes_at);
        closes_at.or_else(|| Some(now() + DRAIN_START_WINDOW))
    }

    pub(super) fn resolve(&self, request_id: &str, deadline: Instant) -> Resolution<Reply> {
        lock(&self.ledger).resolve(now(), request_id, deadline)
    }

    pub(super) fn look_up(&self, request_id: &str) -> Resolution<Reply> {
        lock(&self.ledger).look_up(request_id)
    }

    /// Returns the number of free slots that no request waits for.
    pub(super) fn free_slots(&self) -> u32 {
        self.gate.free_slots()
    }

    /// Runs an idempotent request; dropping the future cancels it.
    pub(super) async fn run(&self, call: Arc<Call>) -> Reply {
        match self.admit(call.deadline).await {
            Ok((slot, upstream)) => self.send(&slot, &upstream, call).await,
            Err(reason) => Reply::refused(reason),
        }
    }

    /// Runs a request at most once on this node; with an idempotency key, at most once on all
    /// nodes.
    ///
    /// `caller_gone` is cancelled when the caller no longer waits for the reply; a
    /// request that has not started by then does not start.
    pub(super) async fn run_once(&self, call: Arc<Call>, caller_gone: CancellationToken) -> Reply {
        let has_key = call.key.is_some();
        let accepted = lock(&self.ledger).accept(now(), &call.request, call.deadline, has_key);
        if let Err(reason) = accepted {
            return self.reply_to_rejected(&call.request, reason);
        }
        let guard = LedgerGuard::new(&self.ledger, &call.request);
        let prepared = tokio::select! {
            biased;
            prepared = self.prepare(&call, &guard) => prepared,
            () = caller_gone.cancelled() => return guard.abandon(),
        };
        let (slot, upstream) = match prepared {
            Ok(prepared) => prepared,
            Err(reply) => return guard.finish(reply),
        };
        if let Err(reason) = guard.start(now()) {
            return guard.refuse(reason);
        }
        let reply = self.send(&slot, &upstream, Arc::clone(&call)).await;
        guard.finish(reply)
    }

    /// Claims the key of a request, if it has one, and waits for a slot.
    async fn prepare(
        &self,
        call: &Call,
        guard: &LedgerGuard<'_>,
    ) -> Result<(Slot, Arc<Upstream>), Reply> {
        let deadline = call.deadline;
        let Some(key) = &call.key else {
            return self.admit(deadline).await.map_err(Reply::refused);
        };
        self.check_ready().map_err(Reply::refused)?;
        self.gate
            .check(Precedence::with_deadline(deadline))
            .map_err(Reply::refused)?;
        self.claim(call, key, guard).await?;
        self.acquire(deadline).await.map_err(Reply::refused)
    }

    /// Claims a key, or returns the reply if the request must not run here.
    async fn claim(
        &self,
        call: &Call,
        key: &IdempotencyKey,
        guard: &LedgerGuard<'_>,
    ) -> Result<(), Reply> {
        let Some(claimant) = &self.claimant else {
            return Err(Reply::refused(Reason::ClaimUnavailable));
        };
        let mut bid = claimant.bid(call, key);
        loop {
            let outcome = claimant.submit(bid.clone(), call).await;
            count_bid_outcome(outcome.as_ref());
            match outcome {
                Some(BidOutcome::Won) => return Ok(()),
                Some(BidOutcome::Gone) => bid.replaces = None,
                Some(BidOutcome::Conflict(stored_claim)) => {
                    guard.defer();
                    bid = self
                        .await_holder(claimant, bid, &stored_claim, call.deadline)
                        .await?;
                    guard.resume();
                }
                Some(BidOutcome::Unreadable) => return Err(Reply::unknown(Reason::Duplicate)),
                None => return Err(Reply::refused(Reason::ClaimUnavailable)),
            }
        }
    }

    /// Waits for the outcome of the request that holds a claim.
    ///
    /// Returns a bid that takes over the claim, or the reply to the call.
    async fn await_holder(
        &self,
        claimant: &Claimant,
        bid: Bid,
        stored_claim: &StoredClaim,
        deadline: Instant,
    ) -> Result<Bid, Reply> {
        let mut delay = MIN_HOLDER_POLL_DELAY;
        loop {
            let resolution = if claimant.is_from_this_incarnation(&stored_claim.claim) {
                Some(self.look_up(&stored_claim.claim.request))
            } else {
                claimant
                    .resolver()
                    .resolve(stored_claim.claim.clone())
                    .await
            };
            let action = resolve_conflict(&bid, stored_claim, resolution);
            count_conflict_action(&action);
            match action {
                ConflictAction::TakeOver(bid) => return Ok(bid),
                ConflictAction::Respond(reply) => return Err(reply),
                ConflictAction::Refuse => return Err(Reply::refused(Reason::Duplicate)),
                ConflictAction::Wait if now() + delay < deadline => {
                    tokio::time::sleep(delay).await;
                    delay = MAX_HOLDER_POLL_DELAY.min(delay * 2);
                }
                ConflictAction::Wait | ConflictAction::MayHaveRun => {
                    return Err(Reply::unknown(Reason::Duplicate));
                }
            }
        }
    }

    /// Checks whether a request may run, and waits for a slot.
    async fn admit(&self, deadline: Instant) -> Result<(Slot, Arc<Upstream>), Reason> {
        self.check_ready()?;
        let slot = self
            .gate
            .check_and_acquire(Precedence::with_deadline(deadline))
            .await?;
        self.check_slot(slot, deadline)
    }

    /// Waits for a slot for a claimed key, even if the queue is full.
    async fn acquire(&self, deadline: Instant) -> Result<(Slot, Arc<Upstream>), Reason> {
        let slot = self
            .gate
            .acquire(Precedence::with_deadline(deadline))
            .await?;
        self.check_slot(slot, deadline)
    }

    /// Returns the upstream for an acquired slot, if the request can still start.
    ///
    /// The upstream may be draining, as long as admitted requests can start.
    fn check_slot(&self, slot: Slot, deadline: Instant) -> Result<(Slot, Arc<Upstream>), Reason> {
        let upstream = self.live_upstream()?;
        let now = now();
        if upstream.closes_at.is_some_and(|at| at <= now) {
            return Err(Reason::Draining);
        }
        if deadline <= now {
            return Err(Reason::Deadline);
        }
        Ok((slot, upstream))
    }

    async fn send(&self, _slot: &Slot, upstream: &Upstream, call: Arc<Call>) -> Reply {
        let started_at = now();
        let reply = self.transport.send(upstream.address, call).await;
        if reply.verdict == Verdict::Ran {
            self.gate.record_run_time(started_at);
        }
        reply
    }

    /// Returns the reply to an attempt that the ledger did not accept.
    fn reply_to_rejected(&self, request_id: &str, reason: Reason) -> Reply {
        if reason != Reason::Duplicate {
            return Reply::refused(reason);
        }
        match self.look_up(request_id) {
            Resolution::Answered(reply) => reply,
            Resolution::Barred => Reply::refused(Reason::Barred),
            Resolution::Running | Resolution::MayHaveRun => Reply::unknown(reason),
        }
    }

    /// Checks whether new requests are accepted.
    ///
    /// # Errors
    ///
    /// Returns why they are refused: the node stops, or the upstream is draining, missing or not
    /// ready.
    fn check_ready(&self) -> Result<(), Reason> {
        if self.context.stop.is_cancelled() {
            return Err(Reason::Draining);
        }
        match self.live_upstream()?.phase {
            Phase::Draining => Err(Reason::Draining),
            _ => Ok(()),
        }
    }

    /// Returns the upstream if it can run requests that have been admitted.
    fn live_upstream(&self) -> Result<Arc<Upstream>, Reason> {
        let upstream = self.upstream.load_full().ok_or(Reason::NotReady)?;
        let is_expired = upstream.expires_at < now();
        match upstream.phase {
            Phase::Ready | Phase::Draining if !is_expired => Ok(upstream),
            _ => Err(Reason::NotReady),
        }
    }
}

fn count_bid_outcome(outcome: Option<&BidOutcome>) {
    let outcome = match outcome {
        Some(BidOutcome::Won) => "won",
        Some(BidOutcome::Conflict(_)) => "taken",
        Some(BidOutcome::Gone) => "gone",
        Some(BidOutcome::Unreadable) => "unreadable",
        None => "unavailable",
    };
    metrics::counter!("lentilshunt_claims_total", "outcome" => outcome).increment(1);
}

fn count_conflict_action(action: &ConflictAction<Reply>) {
    let step = match action {
        ConflictAction::TakeOver(_) => "take_over",
        ConflictAction::Respond(_) => "answer",
        ConflictAction::Wait => "wait",
        ConflictAction::Refuse => "refuse",
        ConflictAction::MayHaveRun => "may_have_run",
    };
    metrics::counter!("lentilshunt_claim_conflicts_total", "step" => step).increment(1);
}
