//! Record of the requests that an executing node has seen.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Instant,
};

use super::{
    Capacity, KEYED_RETENTION, RESOLVE_LIMIT, RETENTION, Resolution,
    entry::{Entry, State},
};
use crate::verdict::Reason;

/// Requests of one incarnation of an executing node, bounded in time and number.
///
/// `R` is the type of the responses. The driver serializes access with a
/// lock; if a query and the start of a request race, the order in which they get
/// the lock decides whether the request is barred or runs.
#[derive(Debug)]
pub struct Ledger<R> {
    capacity: Capacity,
    entries: HashMap<Arc<str>, Entry<R>>,
    /// Requests ordered by expiry.
    expiring: BTreeSet<(Instant, Arc<str>)>,
    /// Expired requests with a key, ordered by the instant of their removal.
    evictable: BTreeSet<(Instant, Arc<str>)>,
    /// Requests with a kept response, in completion order.
    completed: BTreeMap<u64, Arc<str>>,
    completions: u64,
    response_bytes: usize,
}

impl<R: Clone> Ledger<R> {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
            expiring: BTreeSet::new(),
            evictable: BTreeSet::new(),
            completed: BTreeMap::new(),
            completions: 0,
            response_bytes: 0,
        }
    }

    /// Returns the number of requests in the ledger.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the ledger has no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the kept responses, in bytes.
    #[must_use]
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Accepts a request that has not been seen.
    ///
    /// `has_key` states whether the request has an idempotency key. Such a request
    /// is kept for longer unless its entry is evicted.
    ///
    /// # Errors
    ///
    /// - [`Reason::Duplicate`] if the request has been accepted before.
    /// - [`Reason::Barred`] if the request is barred.
    /// - [`Reason::Deadline`] if the deadline has passed; the request is then barred.
    /// - [`Reason::QueueFull`] if the ledger is full.
    pub fn accept(
        &mut self,
        now: Instant,
        request: &str,
        deadline: Instant,
        has_key: bool,
    ) -> Result<(), Reason> {
        self.remove_expired(now);
        if let Some(entry) = self.entries.get(request) {
            return Err(match entry.state {
                State::Barred => Reason::Barred,
                _ => Reason::Duplicate,
            });
        }
        let state = if deadline > now {
            State::Accepted
        } else {
            State::Barred
        };
        let is_past_deadline = matches!(state, State::Barred);
        if !self.insert(now, request, deadline, has_key, state) {
            return Err(Reason::QueueFull);
        }
        if is_past_deadline {
            return Err(Reason::Deadline);
        }
        Ok(())
    }

    /// Marks an accepted request as running, immediately before it is sent.
    ///
    /// # Errors
    ///
    /// - [`Reason::Deadline`] if the deadline has passed; the request is then barred.
    /// - [`Reason::Barred`] if the request is not in the accepted state.
    pub fn start(&mut self, now: Instant, request: &str) -> Result<(), Reason> {
        let entry = self.entries.get_mut(request).ok_or(Reason::Barred)?;
        if !matches!(entry.state, State::Accepted) {
            return Err(Reason::Barred);
        }
        if entry.deadline <= now {
            entry.state = State::Barred;
            return Err(Reason::Deadline);
        }
        entry.state = State::Running;
        Ok(())
    }

    /// Keeps the complete response of an open request.
    ///
    /// If the responses exceed the limit in bytes, the oldest ones are dropped;
    /// their requests are then reported as ones that may have run.
    pub fn complete(&mut self, request: &str, response: R, bytes: usize) {
        let Some((id, _)) = self.entries.get_key_value(request) else {
            return;
        };
        let id = Arc::clone(id);
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        if !entry.is_open() {
            return;
        }
        self.completions += 1;
        entry.state = State::Answered {
            response,
            bytes,
            order: self.completions,
        };
        self.response_bytes += bytes;
        self.completed.insert(self.completions, id);
        while self.response_bytes > self.capacity.response_bytes {
            let Some((_, oldest)) = self.completed.pop_first() else {
                break;
            };
            self.drop_response(&oldest);
        }
    }

    /// Bars an open request that is known not to have run, even if it was marked as running.
    pub fn bar(&mut self, request: &str) {
        self.close(request, State::Barred);
    }

    /// Closes an open request whose outcome is unknown.
    pub fn mark_lost(&mut self, request: &str) {
        self.close(request, State::Lost);
    }

    /// Closes an open request that is no longer processed.
    ///
    /// It is barred if it is accepted and has not started; otherwise its outcome
    /// is unknown.
    pub fn abandon(&mut self, request: &str) {
        match self.entries.get(request).map(|entry| &entry.state) {
            Some(State::Accepted) => self.bar(request),
            _ => self.mark_lost(request),
        }
    }

    /// Defers an accepted request until [`Ledger::resume`], because another
    /// request holds the claim of its key.
    pub fn defer(&mut self, request: &str) {
        if let Some(entry) = self.entries.get_mut(request)
            && matches!(entry.state, State::Accepted)
        {
            entry.state = State::Deferred;
        }
    }

    /// Marks a deferred request as accepted again, when it may take over the claim.
    pub fn resume(&mut self, request: &str) {
        if let Some(entry) = self.entries.get_mut(request)
            && matches!(entry.state, State::Deferred)
        {
            entry.state = State::Accepted;
        }
    }

    /// Returns the outcome of a request, and bars the request if it is unseen.
    ///
    /// An unseen request is not barred if its deadline passed more than
    /// [`RESOLVE_LIMIT`] ago, because its entry may have been removed, or if the
    /// ledger is full. It is then reported as one that may have run.
    pub fn resolve(&mut self, now: Instant, request: &str, deadline: Instant) -> Resolution<R> {
        self.remove_expired(now);
        if self.entries.contains_key(request) {
            return self.look_up(request);
        }
        if now.saturating_duration_since(deadline) > RESOLVE_LIMIT {
            return Resolution::MayHaveRun;
        }
        let deadline = deadline.max(now);
        if self.insert(now, request, deadline, false, State::Barred) {
            Resolution::Barred
        } else {
            Resolution::MayHaveRun
        }
    }

    /// Returns the outcome of a request that was accepted here before.
    ///
    /// If the ledger has no entry, the entry was removed and the request may have
    /// run.
    #[must_use]
    pub fn look_up(&self, request: &str) -> Resolution<R> {
        match self.entries.get(request).map(|entry| &entry.state) {
            Some(State::Accepted | State::Deferred | State::Running) => Resolution::Running,
            Some(State::Answered { response, .. }) => Resolution::Answered(response.clone()),
            Some(State::Barred) => Resolution::Barred,
            Some(State::Lost) | None => Resolution::MayHaveRun,
        }
    }

    fn close(&mut self, request: &str, state: State<R>) {
        if let Some(entry) = self.entries.get_mut(request)
            && entry.is_open()
        {
            entry.state = state;
        }
    }

    /// Inserts an unseen request and returns whether the ledger had space for it.
    ///
    /// A full ledger evicts the expired request with a key that is due for removal
    /// first.
    fn insert(
        &mut self,
        now: Instant,
        request: &str,
        deadline: Instant,
        has_key: bool,
        state: State<R>,
    ) -> bool {
        if self.entries.len() >= self.capacity.entries {
            let Some((_, evictable)) = self.evictable.pop_first() else {
                return false;
            };
            self.remove_entry(&evictable);
        }
        let id: Arc<str> = request.into();
        let expires_at = deadline.max(now) + RETENTION;
        self.expiring.insert((expires_at, Arc::clone(&id)));
        let entry = Entry {
            state,
            deadline,
            expires_at,
            has_key,
        };
        self.entries.insert(id, entry);
        true
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((expires_at, id)) = self.expiring.first().cloned() {
            if expires_at > now {
                break;
            }
            self.expiring.remove(&(expires_at, Arc::clone(&id)));
            self.retain_or_remove(now, id);
        }
        while let Some((expires_at, id)) = self.evictable.first().cloned() {
            if expires_at > now {
                break;
            }
            self.evictable.remove(&(expires_at, Arc::clone(&id)));
            self.remove_entry(&id);
        }
    }

    /// Removes an expired request, unless it is open or has an idempotency key.
    fn retain_or_remove(&mut self, now: Instant, id: Arc<str>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.is_open() {
            entry.expires_at = now + RETENTION;
            self.expiring.insert((entry.expires_at, id));
        } else if entry.has_key {
            let until = entry.deadline + KEYED_RETENTION;
            self.evictable.insert((until, id));
        } else {
            self.remove_entry(&id);
        }
    }

    fn remove_entry(&mut self, id: &str) {
        self.drop_response(id);
        self.entries.remove(id);
    }

    fn drop_response(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id)
            && let State::Answered { bytes, order, .. } = entry.state
        {
            self.response_bytes -= bytes;
            self.completed.remove(&order);
            entry.state = State::Lost;
        }
    }
}
