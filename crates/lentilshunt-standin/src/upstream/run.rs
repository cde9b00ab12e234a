//! Run of a request.

use hyper::http::request::Parts;
use lentilshunt_net::{
    call::Header,
    history::{Writer, new_event},
};
use lentilshunt_schema::{
    history::{Event, Kind},
    peer::Phase,
};

use super::state::State;

/// Request header with the id of an attempt of a call.
const ATTEMPT_HEADER: &str = "standin-attempt";

/// A run in progress; dropping it before [`Run::end`] records a cancellation.
#[derive(Debug)]
pub(super) struct Run<'a> {
    state: &'a State,
    history: &'a Writer,
    event: Event,
    has_ended: bool,
}

impl<'a> Run<'a> {
    /// Records the start of a run, before any work is done.
    pub(super) fn begin(state: &'a State, history: &'a Writer, parts: &Parts) -> Self {
        let run = Self {
            state,
            history,
            event: describe(state, parts),
            has_ended: false,
        };
        run.record(Kind::RunBegun);
        state.begin_run();
        run
    }

    /// Records the end of the run.
    pub(super) fn end(mut self) {
        self.has_ended = true;
        self.record(Kind::RunEnded);
    }

    fn record(&self, kind: Kind) {
        if !self.history.is_enabled() {
            return;
        }
        let mut event = self.event.clone();
        event.at_us = lentilshunt_net::history::now_us();
        event.kind = kind;
        if self.state.phase() == Phase::Draining {
            event.detail = Some(Phase::Draining.to_string());
        }
        self.history.write(event);
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.state.end_run();
        if !self.has_ended {
            self.record(Kind::RunCancelled);
        }
    }
}

fn describe(state: &State, parts: &Parts) -> Event {
    let text = |name| Some(parts.headers.get(name)?.to_str().ok()?.to_owned());
    let mut event = new_event(Kind::RunBegun);
    event.request = text(Header::REQUEST);
    event.key = text(Header::KEY);
    event.attempt = text(ATTEMPT_HEADER);
    event.service = Some(state.service().to_owned());
    event.instance = Some(state.instance().to_owned());
    event
}
