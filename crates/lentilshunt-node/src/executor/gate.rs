//! Admission control for the slots of the local upstream.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Instant,
};

use lentilshunt_core::{
    admission::{Estimate, Precedence, Queue, Slots, Ticket},
    verdict::Reason,
};
use tokio::{sync::oneshot, time::timeout_at};

use super::{lock, now};

/// Slots of the upstream and the queue of requests that wait for a slot.
#[derive(Debug)]
pub(crate) struct Gate {
    slots: Slots,
    estimate: Estimate,
    /// Length of the queue, readable without locking the queue.
    queue_length: AtomicU32,
    queue: Mutex<Queue<oneshot::Sender<Slot>>>,
}

/// An acquired slot, released when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    gate: Arc<Gate>,
}

/// A position in the queue, removed when it is dropped.
struct QueuePosition<'a> {
    gate: &'a Gate,
    ticket: Ticket,
}

impl Gate {
    /// Creates a gate without slots, whose queue holds up to `capacity` requests.
    pub(crate) fn new(capacity: u32) -> Self {
        Self {
            slots: Slots::default(),
            estimate: Estimate::default(),
            queue_length: AtomicU32::new(0),
            queue: Mutex::new(Queue::new(capacity as usize)),
        }
    }

    /// Sets the number of requests that run concurrently.
    pub(crate) fn resize(self: &Arc<Self>, limit: u32) {
        self.slots.resize(limit);
        self.grant_free_slots();
    }

    /// Returns the number of free slots that no request waits for.
    pub(crate) fn free_slots(&self) -> u32 {
        let queue_length = self.queue_length.load(Ordering::SeqCst);
        self.slots.free().saturating_sub(queue_length)
    }

    /// Records the time from the start of a request until its response (in the relay: until the
    /// response headers).
    pub(crate) fn record_run_time(&self, started_at: Instant) {
        self.estimate.observe(now() - started_at);
    }

    /// Refuses a request that finds the queue full or is expected to miss its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::QueueFull`] or [`Reason::Deadline`].
    pub(crate) fn check(&self, precedence: Precedence) -> Result<(), Reason> {
        if self.free_slots() > 0 {
            return Ok(());
        }
        self.check_queue(&lock(&self.queue), precedence)
    }

    /// Waits for a slot unless [`Gate::check`] refuses the request.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Gate::check`] and [`Gate::acquire`].
    pub(crate) async fn check_and_acquire(
        self: &Arc<Self>,
        precedence: Precedence,
    ) -> Result<Slot, Reason> {
        self.check(precedence)?;
        self.acquire(precedence).await
    }

    /// Waits for a slot, even if the queue is full.
    ///
    /// Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Deadline`] when the deadline passes.
    pub(crate) async fn acquire(self: &Arc<Self>, precedence: Precedence) -> Result<Slot, Reason> {
        if self.queue_length.load(Ordering::SeqCst) == 0
            && let Some(slot) = self.try_acquire()
        {
            return Ok(slot);
        }
        let (sender, granted) = oneshot::channel();
        let ticket = self.push(precedence, sender);
        let _position = QueuePosition { gate: self, ticket };
        // A slot may have been released before the request joined the queue.
        self.grant_free_slots();
        match timeout_at(precedence.deadline.into(), granted).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) | Err(_) => Err(Reason::Deadline),
        }
    }

    fn push(&self, precedence: Precedence, sender: oneshot::Sender<Slot>) -> Ticket {
        let mut queue = lock(&self.queue);
        let ticket = queue.push(precedence, sender);
        self.queue_length.fetch_add(1, Ordering::SeqCst);
        ticket
    }

    fn check_queue(
        &self,
        queue: &Queue<oneshot::Sender<Slot>>,
        precedence: Precedence,
    ) -> Result<(), Reason> {
        let ahead = u32::try_from(queue.count_ahead_of(precedence)).unwrap_or(u32::MAX);
        let completed_at = self
            .estimate
            .expected_completion(now(), ahead, self.slots.limit());
        if completed_at > precedence.deadline {
            return Err(Reason::Deadline);
        }
        if queue.is_full() {
            return Err(Reason::QueueFull);
        }
        Ok(())
    }

    fn try_acquire(self: &Arc<Self>) -> Option<Slot> {
        self.slots.try_acquire().then(|| Slot {
            gate: Arc::clone(self),
        })
    }

    /// Grants free slots to waiting requests.
    fn grant_free_slots(self: &Arc<Self>) {
        while self.queue_length.load(Ordering::SeqCst) > 0 {
            let Some(slot) = self.try_acquire() else {
                return;
            };
            let Some(sender) = self.pop() else {
                // The queue became empty meanwhile; dropping the slot releases it and serves a
                // request that arrived since.
                drop(slot);
                continue;
            };
            // If the receiver is gone, the slot is dropped and thereby released.
            drop(sender.send(slot));
        }
    }

    fn pop(&self) -> Option<oneshot::Sender<Slot>> {
        let mut queue = lock(&self.queue);
        let sender = queue.pop()?;
        self.queue_length.fetch_sub(1, Ordering::SeqCst);
        Some(sender)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.gate.slots.release();
        self.gate.grant_free_slots();
    }
}

impl Drop for QueuePosition<'_> {
    fn drop(&mut self) {
        let mut queue = lock(&self.gate.queue);
        if queue.remove(self.ticket).is_some() {
            self.gate.queue_length.fetch_sub(1, Ordering::SeqCst);
        }
    }
}
