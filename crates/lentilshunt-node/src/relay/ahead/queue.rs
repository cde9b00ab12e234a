//! Requests of one connection that have been read and not answered.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
};

use hyper::{Request, Response};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use super::Scanned;
use crate::{
    executor::lock,
    relay::{ClientAddress, Handler, body::Body},
};

/// Maximum number of requests of one connection that have started before their turn.
const MAX_EARLY: usize = 8;
/// Maximum number of requests of all connections that have started before their turn.
const MAX_EARLY_OF_ALL: usize = 256;

/// Requests of one connection that have been read and not answered, in their order.
#[derive(Debug)]
pub(in crate::relay) struct Queue {
    handler: Arc<dyn Handler>,
    client: ClientAddress,
    /// Cancelled when responses ask the client to close the connection.
    draining: CancellationToken,
    /// Requests of all connections that have started before their turn.
    early_of_all: Arc<AtomicUsize>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Requests that have been read.
    read: u64,
    /// Requests that hyper has come to.
    called: u64,
    /// Requests with a response.
    answered: u64,
    /// Requests that hyper has not come to.
    waiting: VecDeque<Waiting>,
}

/// A request that hyper has not come to.
#[derive(Debug)]
struct Waiting {
    number: u64,
    request: Option<Request<()>>,
    early: Option<Early>,
}

/// A request that has started before its turn.
#[derive(Debug)]
pub(in crate::relay) struct Early {
    request: Request<()>,
    response: AbortOnDropHandle<Response<Body>>,
    _permit: Permit,
}

/// Counts a request that has started before its turn until it is dropped.
#[derive(Debug)]
struct Permit(Arc<AtomicUsize>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Queue {
    /// Creates the queue of a new connection.
    pub(in crate::relay) fn new(
        handler: Arc<dyn Handler>,
        client: ClientAddress,
        draining: CancellationToken,
        early_of_all: Arc<AtomicUsize>,
    ) -> Self {
        Self {
            handler,
            client,
            draining,
            early_of_all,
            state: Mutex::default(),
        }
    }

    /// Adds a request that has been read, and starts it if it is behind another one and may start.
    pub(super) fn push(&self, scanned: Scanned) {
        let mut state = lock(&self.state);
        let number = state.read;
        state.read += 1;
        if number < state.called {
            return;
        }
        let request = match scanned {
            Scanned::Bodiless(request) => Some(*request),
            Scanned::Other => None,
        };
        state.waiting.push_back(Waiting {
            number,
            request,
            early: None,
        });
        self.start(state);
    }

    /// Returns whether each request that has been read has a response.
    pub(super) fn is_answered(&self) -> bool {
        let state = lock(&self.state);
        state.answered >= state.read.max(state.called)
    }

    /// Records that hyper has come to the next request, and returns its early start.
    ///
    /// Returns `None` if it has not started or is another request than the one that was scanned.
    pub(in crate::relay) fn take<B>(&self, request: &Request<B>) -> Option<Early> {
        let mut state = lock(&self.state);
        let number = state.called;
        state.called += 1;
        let is_due = state
            .waiting
            .front()
            .is_some_and(|next| next.number <= number);
        let next = if is_due {
            state.waiting.pop_front()
        } else {
            None
        };
        self.start(state);
        let early = next?.early?;
        let is_same = early.request.method() == request.method()
            && early.request.uri() == request.uri()
            && early.request.headers() == request.headers();
        if !is_same {
            metrics::counter!("lentilshunt_early_starts_total", "result" => "dropped").increment(1);
        }
        is_same.then_some(early)
    }

    /// Returns whether a request that hyper has not come to has started.
    pub(in crate::relay) fn has_early(&self) -> bool {
        let state = lock(&self.state);
        state.waiting.iter().any(|waiting| waiting.early.is_some())
    }

    /// Records that the request that hyper came to last has a response.
    pub(in crate::relay) fn record_answer(&self) {
        lock(&self.state).answered += 1;
    }

    /// Starts requests that are behind one without a response.
    fn start(&self, mut state: MutexGuard<'_, State>) {
        if self.draining.is_cancelled() {
            return;
        }
        let answered = state.answered;
        let behind = state.waiting.iter_mut().take(MAX_EARLY);
        for waiting in behind.filter(|waiting| waiting.number > answered) {
            let Some(request) = waiting.request.take() else {
                continue;
            };
            let Some(permit) = self.permit() else {
                waiting.request = Some(request);
                return;
            };
            let mut handled = request.clone();
            handled.extensions_mut().insert(self.client);
            let Some(handling) = Arc::clone(&self.handler).handle_early(handled) else {
                continue;
            };
            metrics::counter!("lentilshunt_early_starts_total", "result" => "started").increment(1);
            waiting.early = Some(Early {
                request,
                response: AbortOnDropHandle::new(tokio::spawn(handling)),
                _permit: permit,
            });
        }
    }

    fn permit(&self) -> Option<Permit> {
        let before = self.early_of_all.fetch_add(1, Ordering::Relaxed);
        let permit = Permit(Arc::clone(&self.early_of_all));
        (before < MAX_EARLY_OF_ALL).then_some(permit)
    }
}

impl Early {
    /// Waits for the response; returns `None` if the handler has panicked.
    pub(in crate::relay) async fn response(self) -> Option<Response<Body>> {
        self.response.await.ok()
    }
}
