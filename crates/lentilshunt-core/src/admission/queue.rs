//! Priority queue of the requests that wait for a slot.

use std::collections::BTreeMap;

use super::Precedence;

/// Handle of a request in a [`Queue`], ordered by precedence and then by arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    precedence: Precedence,
    sequence: u64,
}

/// Waiting requests, ordered by precedence and then by arrival.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Ticket, T>,
    capacity: usize,
    sequence: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue that counts as full from `capacity` requests on.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            waiting: BTreeMap::new(),
            capacity,
            sequence: 0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many requests are served before a new one with this precedence.
    #[must_use]
    pub fn count_ahead_of(&self, precedence: Precedence) -> usize {
        let bound = Ticket {
            precedence,
            sequence: u64::MAX,
        };
        self.waiting.range(..bound).count()
    }

    /// Returns whether the queue has reached its capacity.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.capacity
    }

    /// Adds a request, even if the queue is full.
    pub fn push(&mut self, precedence: Precedence, request: T) -> Ticket {
        self.sequence += 1;
        let ticket = Ticket {
            precedence,
            sequence: self.sequence,
        };
        self.waiting.insert(ticket, request);
        ticket
    }

    /// Removes and returns the request that is served first.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, request)| request)
    }

    /// Removes a request that no longer waits; returns none if it was already served.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.waiting.remove(&ticket)
    }
}
