//! The requests that an executing node has seen.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Instant,
};

use super::{
    KEY_REMEMBERED, Limits, QUESTION_LIMIT, REMEMBERED, Resolution,
    entry::{Entry, State},
};
use crate::verdict::Reason;

/// Requests of one incarnation of an executing node, bounded in time and number.
///
/// `A` is the type of the answers. All methods take the current instant; the
/// owner serialises them by a lock, and that order decides between a question
/// and a start.
#[derive(Debug)]
pub struct Ledger<A> {
    limits: Limits,
    entries: HashMap<Arc<str>, Entry<A>>,
    /// Requests by their expiry.
    expiring: BTreeSet<(Instant, Arc<str>)>,
    /// Expired requests with a key by the instant at which they are forgotten.
    spare: BTreeSet<(Instant, Arc<str>)>,
    /// Requests with an answer, in the order of their answers.
    answered: BTreeMap<u64, Arc<str>>,
    answers: u64,
    bytes: usize,
}

impl<A: Clone> Ledger<A> {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            expiring: BTreeSet::new(),
            spare: BTreeSet::new(),
            answered: BTreeMap::new(),
            answers: 0,
            bytes: 0,
        }
    }

    /// Returns the number of requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of the answers that are kept.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Accepts a request that has not been seen.
    ///
    /// `keyed` tells that the request has an idempotency key and is remembered
    /// for longer while there is room.
    ///
    /// # Errors
    ///
    /// - [`Reason::Duplicate`] when the request has been accepted before.
    /// - [`Reason::Barred`] when the request is barred.
    /// - [`Reason::Deadline`] when the deadline has passed; the request is barred.
    /// - [`Reason::QueueFull`] when the ledger has no room.
    pub fn accept(
        &mut self,
        now: Instant,
        request: &str,
        deadline: Instant,
        keyed: bool,
    ) -> Result<(), Reason> {
        self.expire(now);
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
        let late = matches!(state, State::Barred);
        if !self.insert(now, request, deadline, keyed, state) {
            return Err(Reason::QueueFull);
        }
        if late {
            return Err(Reason::Deadline);
        }
        Ok(())
    }

    /// Marks an accepted request as running, right before it is sent.
    ///
    /// # Errors
    ///
    /// - [`Reason::Deadline`] when the deadline has passed; the request is barred.
    /// - [`Reason::Barred`] when the request is not accepted, or no longer.
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

    /// Keeps the whole answer of a request that is open.
    ///
    /// Older answers are dropped when the answers are over the limit in bytes;
    /// their requests are remembered as those that may have run.
    pub fn answer(&mut self, request: &str, answer: A, bytes: usize) {
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
        self.answers += 1;
        entry.state = State::Answered {
            answer,
            bytes,
            order: self.answers,
        };
        self.bytes += bytes;
        self.answered.insert(self.answers, id);
        while self.bytes > self.limits.bytes {
            let Some((_, oldest)) = self.answered.pop_first() else {
                break;
            };
            self.drop_answer(&oldest);
        }
    }

    /// Bars an open request that has not run.
    pub fn refuse(&mut self, request: &str) {
        self.close(request, State::Barred);
    }

    /// Ends an open request whose outcome is not known.
    pub fn lose(&mut self, request: &str) {
        self.close(request, State::Lost);
    }

    /// Ends an open request that nobody works on any more.
    ///
    /// It is barred if it has not started; else its outcome is not known.
    pub fn abandon(&mut self, request: &str) {
        match self.entries.get(request).map(|entry| &entry.state) {
            Some(State::Accepted) => self.refuse(request),
            _ => self.lose(request),
        }
    }

    /// Marks an accepted request as one that an earlier request of its key may
    /// have run for; it does not start before [`Ledger::resume`].
    pub fn defer(&mut self, request: &str) {
        if let Some(entry) = self.entries.get_mut(request)
            && matches!(entry.state, State::Accepted)
        {
            entry.state = State::Deferred;
        }
    }

    /// Marks a deferred request as accepted again, when the earlier one is barred.
    pub fn resume(&mut self, request: &str) {
        if let Some(entry) = self.entries.get_mut(request)
            && matches!(entry.state, State::Deferred)
        {
            entry.state = State::Accepted;
        }
    }

    /// Tells what became of a request, and bars it if it has not been seen.
    ///
    /// An unseen request is not barred when its deadline passed more than
    /// [`QUESTION_LIMIT`] ago, since it may have been forgotten, or when the
    /// ledger has no room; it may have run then.
    pub fn resolve(&mut self, now: Instant, request: &str, deadline: Instant) -> Resolution<A> {
        self.expire(now);
        if self.entries.contains_key(request) {
            return self.recall(request);
        }
        if now.saturating_duration_since(deadline) > QUESTION_LIMIT {
            return Resolution::MayHaveRun;
        }
        let deadline = deadline.max(now);
        if self.insert(now, request, deadline, false, State::Barred) {
            Resolution::Barred
        } else {
            Resolution::MayHaveRun
        }
    }

    /// Tells what became of a request that was accepted here before.
    ///
    /// An unseen request has been forgotten, so it may have run.
    #[must_use]
    pub fn recall(&self, request: &str) -> Resolution<A> {
        match self.entries.get(request).map(|entry| &entry.state) {
            Some(State::Accepted | State::Deferred | State::Running) => Resolution::Running,
            Some(State::Answered { answer, .. }) => Resolution::Answered(answer.clone()),
            Some(State::Barred) => Resolution::Barred,
            Some(State::Lost) | None => Resolution::MayHaveRun,
        }
    }

    fn close(&mut self, request: &str, state: State<A>) {
        if let Some(entry) = self.entries.get_mut(request)
            && entry.is_open()
        {
            entry.state = state;
        }
    }

    /// Inserts an unseen request and returns whether there was room.
    fn insert(
        &mut self,
        now: Instant,
        request: &str,
        deadline: Instant,
        keyed: bool,
        state: State<A>,
    ) -> bool {
        if self.entries.len() >= self.limits.entries {
            let Some((_, spare)) = self.spare.pop_first() else {
                return false;
            };
            self.forget(&spare);
        }
        let id: Arc<str> = request.into();
        let expires_at = deadline.max(now) + REMEMBERED;
        self.expiring.insert((expires_at, Arc::clone(&id)));
        let entry = Entry {
            state,
            deadline,
            expires_at,
            keyed,
        };
        self.entries.insert(id, entry);
        true
    }

    fn expire(&mut self, now: Instant) {
        while let Some((expires_at, id)) = self.expiring.first().cloned() {
            if expires_at > now {
                break;
            }
            self.expiring.remove(&(expires_at, Arc::clone(&id)));
            self.retire(now, id);
        }
        while let Some((expires_at, id)) = self.spare.first().cloned() {
            if expires_at > now {
                break;
            }
            self.spare.remove(&(expires_at, Arc::clone(&id)));
            self.forget(&id);
        }
    }

    /// Forgets an expired request, unless it is open or worth its room.
    fn retire(&mut self, now: Instant, id: Arc<str>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.is_open() {
            entry.expires_at = now + REMEMBERED;
            self.expiring.insert((entry.expires_at, id));
        } else if entry.keyed {
            let until = entry.deadline + KEY_REMEMBERED;
            self.spare.insert((until, id));
        } else {
            self.forget(&id);
        }
    }

    fn forget(&mut self, id: &str) {
        self.drop_answer(id);
        self.entries.remove(id);
    }

    fn drop_answer(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id)
            && let State::Answered { bytes, order, .. } = entry.state
        {
            self.bytes -= bytes;
            self.answered.remove(&order);
            entry.state = State::Lost;
        }
    }
}
