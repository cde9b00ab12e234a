//! Lets requests to the own upstream, one for each slot.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Instant,
};

use lentilshunt_core::{
    admission::{Estimate, Queue, Slots, Ticket, Turn},
    verdict::Reason,
};
use tokio::{sync::oneshot, time::timeout_at};

use super::{lock, now};

/// Slots of the upstream and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct Gate {
    slots: Slots,
    estimate: Estimate,
    /// Length of the queue, readable without its lock.
    waiting: AtomicU32,
    queue: Mutex<Queue<oneshot::Sender<Slot>>>,
}

/// A taken slot; it is given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    gate: Arc<Gate>,
}

/// A place in the queue; it is left when it is dropped.
struct Place<'a> {
    gate: &'a Gate,
    ticket: Ticket,
}

impl Gate {
    /// Creates a gate without slots.
    pub(crate) fn new(capacity: u32) -> Self {
        Self {
            slots: Slots::default(),
            estimate: Estimate::default(),
            waiting: AtomicU32::new(0),
            queue: Mutex::new(Queue::new(capacity as usize)),
        }
    }

    /// Sets how many requests run at a time.
    pub(crate) fn resize(self: &Arc<Self>, limit: u32) {
        self.slots.resize(limit);
        self.serve();
    }

    /// Returns the free slots that no request waits for.
    pub(crate) fn free_slots(&self) -> u32 {
        let waiting = self.waiting.load(Ordering::SeqCst);
        self.slots.free().saturating_sub(waiting)
    }

    /// Takes the run time of an answered request.
    pub(crate) fn record_run_time(&self, started_at: Instant) {
        self.estimate.observe(now() - started_at);
    }

    /// Refuses a request that could not be answered by its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::QueueFull`] or [`Reason::Deadline`].
    pub(crate) fn check(&self, turn: Turn) -> Result<(), Reason> {
        if self.free_slots() > 0 {
            return Ok(());
        }
        self.look(&lock(&self.queue), turn)
    }

    /// Waits for a slot as [`Gate::check`] allows.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Gate::check`] and [`Gate::enter`].
    pub(crate) async fn check_and_enter(self: &Arc<Self>, turn: Turn) -> Result<Slot, Reason> {
        self.check(turn)?;
        self.enter(turn).await
    }

    /// Waits for a slot, also in a full queue; dropping the future leaves the queue.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Deadline`] when the deadline passes.
    pub(crate) async fn enter(self: &Arc<Self>, turn: Turn) -> Result<Slot, Reason> {
        if self.waiting.load(Ordering::SeqCst) == 0
            && let Some(slot) = self.take()
        {
            return Ok(slot);
        }
        let (sender, granted) = oneshot::channel();
        let ticket = self.wait(turn, sender);
        let _place = Place { gate: self, ticket };
        // A slot may have come free between the first look and the wait.
        self.serve();
        match timeout_at(turn.deadline.into(), granted).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) | Err(_) => Err(Reason::Deadline),
        }
    }

    fn wait(&self, turn: Turn, sender: oneshot::Sender<Slot>) -> Ticket {
        let mut queue = lock(&self.queue);
        let ticket = queue.push(turn, sender);
        self.waiting.fetch_add(1, Ordering::SeqCst);
        ticket
    }

    fn look(&self, queue: &Queue<oneshot::Sender<Slot>>, turn: Turn) -> Result<(), Reason> {
        let ahead = u32::try_from(queue.ahead_of(turn)).unwrap_or(u32::MAX);
        let answered_at = self.estimate.answered_at(now(), ahead, self.slots.limit());
        if answered_at > turn.deadline {
            return Err(Reason::Deadline);
        }
        if queue.is_full() {
            return Err(Reason::QueueFull);
        }
        Ok(())
    }

    fn take(self: &Arc<Self>) -> Option<Slot> {
        self.slots.take().then(|| Slot {
            gate: Arc::clone(self),
        })
    }

    /// Hands free slots to those that wait.
    fn serve(self: &Arc<Self>) {
        while self.waiting.load(Ordering::SeqCst) > 0 {
            let Some(slot) = self.take() else {
                return;
            };
            let Some(sender) = self.next() else {
                // The last one left; a slot dropped here is offered again.
                drop(slot);
                continue;
            };
            // A receiver that has gone gives the slot back by dropping it.
            drop(sender.send(slot));
        }
    }

    fn next(&self) -> Option<oneshot::Sender<Slot>> {
        let mut queue = lock(&self.queue);
        let sender = queue.pop()?;
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        Some(sender)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.gate.slots.give_back();
        self.gate.serve();
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut queue = lock(&self.gate.queue);
        if queue.remove(self.ticket).is_some() {
            self.gate.waiting.fetch_sub(1, Ordering::SeqCst);
        }
    }
}
