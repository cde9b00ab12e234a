//! Events in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use lentilshunt_core::overload::Outcome;

/// Index of a request.
pub(super) type RequestIndex = usize;

/// What happens at an instant.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A caller of a failure domain sends a new request.
    Arrive { domain: usize },
    /// A caller sends its request to a node.
    Try { request: RequestIndex },
    /// An attempt arrives at the node of an upstream.
    Offer { attempt: Attempt },
    /// An upstream has run a request.
    Finish { attempt: Attempt, start: Instant },
    /// A request has waited as long as it may.
    Expire { attempt: Attempt },
    /// The result of an attempt arrives at the node that sent it.
    Reply {
        attempt: Attempt,
        outcome: Outcome,
        free_slots: u32,
    },
    /// The caller no longer waits.
    GiveUp { request: RequestIndex },
}

/// One attempt of a request on one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Attempt {
    /// The request.
    pub(super) request: RequestIndex,
    /// Number of the attempt, unique among those of the request.
    pub(super) number: u32,
    /// Index of the upstream.
    pub(super) upstream: usize,
}

/// Future events, ordered by time.
#[derive(Debug, Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    sequence: u64,
}

impl Queue {
    /// Adds an event.
    pub(super) fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Removes and returns the next event with its time.
    pub(super) fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse((at, sequence)) = self.heap.pop()?;
        let event = self.events.remove(&sequence)?;
        Some((at, event))
    }
}
