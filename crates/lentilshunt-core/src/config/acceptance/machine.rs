//! State machine of an acceptance.

use std::{
    fmt,
    time::{Duration, Instant},
};

use lentilshunt_schema::platform::{Row, Transaction};
use rand::{RngExt, rngs::StdRng};
use statig::prelude::*;

use super::{AcceptanceOutcome, Action, Event, NextStep, Proposal};
use crate::{
    config::{Head, manifest::hash},
    id::VersionId,
};

/// Maximum delay after the first failure.
const INITIAL_MAX_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after any failure.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// An acceptance in progress.
///
/// The result of each action is passed in as one event, which yields the next
/// action, until that is [`Action::End`].
pub struct Acceptance {
    inner: InitializedStateMachine<SharedState>,
}

impl Acceptance {
    /// Creates an acceptance and returns it with its first action.
    ///
    /// `contents` are the contents to store before the transaction. After
    /// `expires_at` the acceptance sends no transaction and gives up at the first
    /// failure. Its delays are jittered with `random`.
    #[must_use]
    pub fn start(
        proposal: Proposal,
        contents: Vec<Vec<u8>>,
        expires_at: Instant,
        random: StdRng,
        now: Instant,
    ) -> (Self, Action) {
        let state = SharedState {
            proposal,
            contents,
            expires_at,
            random,
            max_delay: INITIAL_MAX_DELAY,
            is_in_doubt: false,
        };
        let mut context = HandlerContext { now, action: None };
        let inner = state.uninitialized_state_machine();
        let inner = inner.init_with_context(&mut context);
        (Self { inner }, context.take_action())
    }

    /// Handles the result of the last action and returns the next action.
    ///
    /// An event that does not belong to the last action counts as a failure of
    /// that action.
    pub fn handle(&mut self, now: Instant, event: &Event) -> Action {
        let mut context = HandlerContext { now, action: None };
        self.inner.handle_with_context(event, &mut context);
        context.take_action()
    }
}

impl fmt::Debug for Acceptance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Acceptance")
            .field("state", self.inner.state())
            .field("shared_state", self.inner.inner())
            .finish()
    }
}

/// Current instant, and the action chosen by a handler.
#[derive(Debug)]
struct HandlerContext {
    now: Instant,
    action: Option<Action>,
}

impl HandlerContext {
    fn take_action(&mut self) -> Action {
        let action = self.action.take();
        action.unwrap_or(Action::Wait { until: self.now })
    }
}

/// Data of an acceptance that is shared by all states.
#[derive(Debug)]
struct SharedState {
    proposal: Proposal,
    /// Contents that are not stored yet; the last one is stored next.
    contents: Vec<Vec<u8>>,
    expires_at: Instant,
    random: StdRng,
    max_delay: Duration,
    /// Whether a transaction was sent whose outcome is unknown.
    is_in_doubt: bool,
}

#[state_machine(
    initial = "State::reading()",
    state(derive(Debug)),
    superstate(derive(Debug))
)]
impl SharedState {
    /// Stores the contents one at a time.
    #[state(superstate = "awaiting_response", entry_action = "store_next")]
    fn storing(&mut self, context: &mut HandlerContext, event: &Event) -> Outcome<State> {
        match event {
            Event::Stored => {
                self.contents.pop();
                self.max_delay = INITIAL_MAX_DELAY;
                if self.contents.is_empty() {
                    return Transition(State::reading());
                }
                self.store_next(context);
                Handled
            }
            Event::Timer => {
                self.store_next(context);
                Handled
            }
            _ => Super,
        }
    }

    /// Reads the head.
    #[state(superstate = "awaiting_response", entry_action = "read_head")]
    fn reading(&mut self, context: &mut HandlerContext, event: &Event) -> Outcome<State> {
        match event {
            Event::Row(row) => self.evaluate_head(context, row.as_ref()),
            Event::Timer => {
                Self::read_head(context);
                Handled
            }
            _ => Super,
        }
    }

    /// Waits before the head is read after a failed transaction.
    #[state(entry_action = "wait")]
    fn backing_off(until: &Instant, event: &Event, context: &mut HandlerContext) -> Outcome<State> {
        if *event == Event::Timer {
            return Transition(State::reading());
        }
        Self::wait(until, context);
        Handled
    }

    /// Sends the transaction and waits for its outcome.
    #[state(superstate = "awaiting_response", entry_action = "transact")]
    fn transacting(
        &mut self,
        context: &mut HandlerContext,
        transaction: &Transaction,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::TransactionEnded { committed: true } => {
                context.action = Some(Action::End(AcceptanceOutcome::Accepted(
                    self.proposal.head(),
                )));
                Transition(State::ended())
            }
            Event::TransactionEnded { committed: false } => Transition(State::reading()),
            Event::Failed {
                may_have_taken_effect,
            } => {
                self.is_in_doubt |= may_have_taken_effect;
                let until = context.now + self.draw_delay();
                Transition(State::backing_off(until))
            }
            Event::Timer => {
                context.action = Some(Action::Transact(transaction.clone()));
                Handled
            }
            _ => Super,
        }
    }

    /// Reads which version follows the base.
    #[state(superstate = "awaiting_response", entry_action = "read_history")]
    fn reading_history(
        &mut self,
        context: &mut HandlerContext,
        newest: &Head,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Row(row) => {
                let outcome = self.evaluate_history(newest, row.as_ref());
                context.action = Some(Action::End(outcome));
                Transition(State::ended())
            }
            Event::Timer => {
                self.read_history(context);
                Handled
            }
            _ => Super,
        }
    }

    /// Ignores all events.
    #[state]
    fn ended() -> Outcome<State> {
        Handled
    }

    /// Retries after a delay when a request failed, or gives up.
    #[superstate]
    fn awaiting_response(&mut self, context: &mut HandlerContext) -> Outcome<State> {
        if context.now < self.expires_at {
            let until = context.now + self.draw_delay();
            context.action = Some(Action::Wait { until });
            return Handled;
        }
        context.action = Some(Action::End(self.give_up_outcome()));
        Transition(State::ended())
    }

    #[action]
    fn store_next(&mut self, context: &mut HandlerContext) {
        context.action = self.contents.last().map(|content| Action::Put {
            digest: hash(content),
            content: content.clone(),
        });
    }

    #[action]
    fn read_head(context: &mut HandlerContext) {
        let key = Head::KEY.to_owned();
        context.action = Some(Action::Read { key });
    }

    #[action]
    fn wait(until: &Instant, context: &mut HandlerContext) {
        context.action = Some(Action::Wait { until: *until });
    }

    #[action]
    fn transact(transaction: &Transaction, context: &mut HandlerContext) {
        context.action = Some(Action::Transact(transaction.clone()));
    }

    #[action]
    fn read_history(&mut self, context: &mut HandlerContext) {
        let version: VersionId = self.proposal.head().version;
        let key = Head::history_key(version);
        context.action = Some(Action::Read { key });
    }
}

impl SharedState {
    fn evaluate_head(&mut self, context: &mut HandlerContext, row: Option<&Row>) -> Outcome<State> {
        let outcome = match self.proposal.next_step(row) {
            Ok(NextStep::Transact(_)) if context.now >= self.expires_at => self.give_up_outcome(),
            Ok(NextStep::Transact(_)) if !self.contents.is_empty() => {
                return Transition(State::storing());
            }
            Ok(NextStep::Transact(transaction)) => {
                return Transition(State::transacting(transaction));
            }
            Ok(NextStep::Conflict(newest)) if newest.version > self.proposal.base => {
                return Transition(State::reading_history(newest));
            }
            Ok(NextStep::Conflict(newest)) => AcceptanceOutcome::Conflict { newest },
            Ok(NextStep::Accepted(head)) => AcceptanceOutcome::Accepted(head),
            Err(_unreadable) if self.is_in_doubt => AcceptanceOutcome::Unsettled,
            Err(error) => AcceptanceOutcome::Unreadable(error),
        };
        context.action = Some(Action::End(outcome));
        Transition(State::ended())
    }

    fn evaluate_history(&self, newest: &Head, row: Option<&Row>) -> AcceptanceOutcome {
        match row.map(|row| Head::decode(&row.value)) {
            Some(Ok(head)) if head == self.proposal.head() => AcceptanceOutcome::Accepted(head),
            Some(Err(_unreadable)) if self.is_in_doubt => AcceptanceOutcome::Unsettled,
            Some(Err(error)) => AcceptanceOutcome::Unreadable(error),
            Some(Ok(_)) | None => AcceptanceOutcome::Conflict {
                newest: newest.clone(),
            },
        }
    }

    fn give_up_outcome(&self) -> AcceptanceOutcome {
        if self.is_in_doubt {
            AcceptanceOutcome::Unsettled
        } else {
            AcceptanceOutcome::Unavailable
        }
    }

    /// Draws the next delay and doubles the maximum delay.
    fn draw_delay(&mut self) -> Duration {
        let delay = self.max_delay.mul_f64(self.random.random::<f64>());
        self.max_delay = (self.max_delay * 2).min(MAX_DELAY);
        delay
    }
}
