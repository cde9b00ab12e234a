//! Access to the slots of the local upstream.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::Instant,
};

use lentilshunt_core::{
    admission::Ticket,
    overload::{Admission, Applicant, Kind, Next, Waiting},
    verdict::Reason,
};
use tokio::{sync::oneshot, time::timeout_at};

use crate::executor::lock;

/// Slots of the upstream and the requests that wait for one, as [`Waiting`] decides.
#[derive(Debug)]
pub(super) struct Gate {
    waiting: Mutex<Waiting<oneshot::Sender<Slot>>>,
    /// Free slots that no request waits for, readable without the lock.
    free_slots: AtomicU32,
}

/// An acquired slot, released when it is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    gate: Arc<Gate>,
    started_at: Instant,
}

/// A request that waits, removed when it is dropped.
struct Position<'a> {
    gate: &'a Gate,
    ticket: Ticket,
}

impl Gate {
    /// Creates a gate without slots, at which up to `capacity` requests wait.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            waiting: Mutex::new(Waiting::new(capacity, Instant::now())),
            free_slots: AtomicU32::new(0),
        }
    }

    /// Sets the number of requests that run concurrently.
    pub(super) fn resize(self: &Arc<Self>, slots: u32) {
        let mut waiting = self.lock();
        waiting.resize(slots);
        self.grant(waiting);
    }

    /// Returns the number of free slots that no request waits for.
    pub(super) fn free_slots(&self) -> u32 {
        self.free_slots.load(Ordering::Relaxed)
    }

    /// Waits for a slot, or returns why there is none in time.
    pub(super) async fn acquire(self: &Arc<Self>, applicant: Applicant) -> Result<Slot, Reason> {
        let (until, ticket, granted) = {
            let mut waiting = self.lock();
            let now = Instant::now();
            match waiting.admit(&applicant, now) {
                Admission::Start => {
                    waiting.start(now);
                    self.publish(&waiting);
                    return Ok(self.slot(now));
                }
                Admission::Refuse(reason) => return Err(reason),
                Admission::Wait { until } => {
                    let (sender, granted) = oneshot::channel();
                    let ticket = waiting.push(applicant, sender);
                    self.publish(&waiting);
                    (until, ticket, granted)
                }
            }
        };
        let _position = Position { gate: self, ticket };
        match timeout_at(until.into(), granted).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) | Err(_) => Err(Reason::Deadline),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Waiting<oneshot::Sender<Slot>>> {
        lock(&self.waiting)
    }

    fn slot(self: &Arc<Self>, started_at: Instant) -> Slot {
        Slot {
            gate: Arc::clone(self),
            started_at,
        }
    }

    fn publish(&self, waiting: &Waiting<oneshot::Sender<Slot>>) {
        self.free_slots
            .store(waiting.free_slots(), Ordering::Relaxed);
    }

    /// Grants free slots to waiting requests.
    fn grant(self: &Arc<Self>, mut waiting: MutexGuard<'_, Waiting<oneshot::Sender<Slot>>>) {
        let now = Instant::now();
        let mut unreceived = Vec::new();
        while let Some(next) = waiting.next(now) {
            match next {
                // If the receiver is gone, the slot is released again below.
                Next::Start(sender) => unreceived.extend(sender.send(self.slot(now)).err()),
                // The receiver sees the dropped sender as a refusal.
                Next::Refuse(sender) => drop(sender),
            }
        }
        self.publish(&waiting);
        // Dropping a slot locks the gate.
        drop(waiting);
        drop(unreceived);
    }
}

impl Slot {
    /// Records that the upstream has responded to a request of the given kind.
    pub(super) fn record_response(&self, kind: Kind) {
        let run = self.started_at.elapsed();
        self.gate.lock().observe(kind, run);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut waiting = self.gate.lock();
        waiting.end(self.started_at);
        self.gate.grant(waiting);
    }
}

impl Drop for Position<'_> {
    fn drop(&mut self) {
        let mut waiting = self.gate.lock();
        if waiting.remove(self.ticket).is_some() {
            self.gate.publish(&waiting);
        }
    }
}
