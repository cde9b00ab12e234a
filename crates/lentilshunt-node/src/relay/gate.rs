//! Access to the slots of the local upstream.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use lentilshunt_core::{
    admission::Ticket,
    overload::{Admission, Applicant, Kind, Next, Rate, Waiting},
    verdict::Reason,
};
use tokio::{
    sync::oneshot,
    time::{sleep_until, timeout_at},
};

use crate::executor::lock;

/// Slots of the upstream and the requests that wait for one, as [`Waiting`] decides.
#[derive(Debug)]
pub(super) struct Gate {
    waiting: Mutex<Waiting<Waiter>>,
    /// Deadlines of the requests that run.
    deadlines: Mutex<Vec<Instant>>,
    /// Whether a task waits for the next turn under the rate limit.
    has_timer: AtomicBool,
}

/// An acquired slot, released when it is dropped.
#[derive(Debug)]
struct Slot {
    gate: Arc<Gate>,
    kind: Kind,
    started_at: Instant,
}

/// A request that runs, until it is dropped.
#[derive(Debug)]
pub(super) struct Running {
    slot: Slot,
    deadline: Instant,
}

/// Gives a slot to a request that waits.
#[derive(Debug)]
struct Waiter {
    kind: Kind,
    sender: oneshot::Sender<Slot>,
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
            deadlines: Mutex::default(),
            has_timer: AtomicBool::new(false),
        }
    }

    /// Returns the latest deadline of the requests that run, or `None` if none does.
    pub(super) fn latest_deadline(&self) -> Option<Instant> {
        lock(&self.deadlines).iter().max().copied()
    }

    /// Sets the number of requests that run concurrently.
    pub(super) fn resize(self: &Arc<Self>, slots: u32) {
        let mut waiting = self.lock();
        waiting.resize(slots);
        self.grant(waiting);
    }

    /// Returns the number of free slots that a request can take at once.
    pub(super) fn free_slots(&self) -> u32 {
        self.lock().free_slots(Instant::now())
    }

    /// Returns the rate limit of the upstream, if it has one.
    pub(super) fn rate_limit(&self) -> Option<Rate> {
        self.lock().rate_limit().rate()
    }

    /// Applies the rate limit in a response of the upstream, and returns whether it has changed.
    pub(super) fn confirm_rate_limit(self: &Arc<Self>, limit: Option<Rate>) -> bool {
        let mut waiting = self.lock();
        let has_changed = waiting.rate_limit_mut().confirm(limit, Instant::now());
        self.grant(waiting);
        has_changed
    }

    /// Applies the rate limit that another node has seen, and returns whether it has changed.
    pub(super) fn suggest_rate_limit(&self, limit: Rate) -> bool {
        let mut waiting = self.lock();
        waiting.rate_limit_mut().suggest(limit, Instant::now())
    }

    /// Forgets the rate limit, which was that of another process.
    pub(super) fn reset_rate_limit(self: &Arc<Self>) {
        let mut waiting = self.lock();
        waiting.rate_limit_mut().reset();
        self.grant(waiting);
    }

    /// Waits for a slot, or returns why there is none in time.
    pub(super) async fn acquire(self: &Arc<Self>, applicant: Applicant) -> Result<Running, Reason> {
        let deadline = applicant.deadline;
        let slot = self.acquire_slot(applicant).await?;
        lock(&self.deadlines).push(deadline);
        Ok(Running { slot, deadline })
    }

    async fn acquire_slot(self: &Arc<Self>, applicant: Applicant) -> Result<Slot, Reason> {
        let (until, ticket, granted) = {
            let mut waiting = self.lock();
            let now = Instant::now();
            match waiting.admit(&applicant, now) {
                Admission::Start => {
                    waiting.start(applicant.kind, now);
                    return Ok(self.slot(applicant.kind, now));
                }
                Admission::Refuse(reason) => return Err(reason),
                Admission::Wait { until } => {
                    let (sender, granted) = oneshot::channel();
                    let kind = applicant.kind;
                    let ticket = waiting.push(applicant, Waiter { kind, sender });
                    self.start_timer(waiting.wake_at(now));
                    (until, ticket, granted)
                }
            }
        };
        let _position = Position { gate: self, ticket };
        match timeout_at(until.into(), granted).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) | Err(_) if self.lock().wake_at(Instant::now()).is_some() => {
                Err(Reason::RateLimited)
            }
            Ok(Err(_)) | Err(_) => Err(Reason::Deadline),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Waiting<Waiter>> {
        lock(&self.waiting)
    }

    fn slot(self: &Arc<Self>, kind: Kind, started_at: Instant) -> Slot {
        Slot {
            gate: Arc::clone(self),
            kind,
            started_at,
        }
    }

    /// Grants slots again at the given instant, unless a task does so earlier.
    fn start_timer(self: &Arc<Self>, at: Option<Instant>) {
        let Some(at) = at else {
            return;
        };
        if self.has_timer.swap(true, Ordering::AcqRel) {
            return;
        }
        let gate = Arc::downgrade(self);
        tokio::spawn(async move {
            sleep_until(at.into()).await;
            if let Some(gate) = gate.upgrade() {
                gate.has_timer.store(false, Ordering::Release);
                let waiting = gate.lock();
                gate.grant(waiting);
            }
        });
    }

    /// Grants free slots to waiting requests.
    fn grant(self: &Arc<Self>, mut waiting: MutexGuard<'_, Waiting<Waiter>>) {
        let now = Instant::now();
        let mut unreceived = Vec::new();
        while let Some(next) = waiting.next(now) {
            match next {
                // If the receiver is gone, the slot is released again below.
                Next::Start(Waiter { kind, sender }) => {
                    unreceived.extend(sender.send(self.slot(kind, now)).err());
                }
                // The receiver sees the dropped sender as a refusal.
                Next::Refuse(waiter) => drop(waiter),
            }
        }
        self.start_timer(waiting.wake_at(now));
        // Dropping a slot locks the gate.
        drop(waiting);
        drop(unreceived);
    }
}

impl Running {
    /// Records that the upstream has responded to a request of the given kind.
    pub(super) fn record_response(&self, kind: Kind) {
        let run = self.slot.started_at.elapsed();
        self.slot.gate.lock().observe(kind, run);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut deadlines = lock(&self.slot.gate.deadlines);
        if let Some(index) = deadlines.iter().position(|other| *other == self.deadline) {
            deadlines.swap_remove(index);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut waiting = self.gate.lock();
        waiting.end(self.kind, self.started_at);
        self.gate.grant(waiting);
    }
}

impl Drop for Position<'_> {
    fn drop(&mut self) {
        drop(self.gate.lock().remove(self.ticket));
    }
}
