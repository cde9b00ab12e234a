//! The states of an acceptance.

use std::{
    fmt,
    time::{Duration, Instant},
};

use lentilshunt_schema::platform::{Row, Transaction};
use rand::{RngExt, rngs::StdRng};
use statig::prelude::*;

use super::{Action, Ending, Event, Proposal, Step};
use crate::{
    config::{Head, manifest::hash},
    id::VersionId,
};

/// Longest wait after the first failure.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Longest wait after any failure.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// One acceptance in progress.
///
/// Each action is answered by one event, which gives the next action, until an
/// action is [`Action::End`].
pub struct Machine {
    inner: InitializedStateMachine<Course>,
}

impl Machine {
    /// Creates an acceptance and returns it with its first action.
    ///
    /// `objects` are the contents to be stored before the transaction. After `expires_at` the
    /// acceptance sends no transaction and gives up at the first failure. Its
    /// waits are jittered by `random`.
    #[must_use]
    pub fn start(
        proposal: Proposal,
        objects: Vec<Vec<u8>>,
        expires_at: Instant,
        random: StdRng,
        now: Instant,
    ) -> (Self, Action) {
        let course = Course {
            proposal,
            objects,
            expires_at,
            random,
            longest_wait: FIRST_WAIT,
            is_in_doubt: false,
        };
        let mut moment = Moment { now, action: None };
        let inner = course.uninitialized_state_machine();
        let inner = inner.init_with_context(&mut moment);
        (Self { inner }, moment.take())
    }

    /// Takes the answer to the last action and returns the next action.
    ///
    /// An answer that does not belong to the last action counts as a failure
    /// of it.
    pub fn handle(&mut self, now: Instant, event: &Event) -> Action {
        let mut moment = Moment { now, action: None };
        self.inner.handle_with_context(event, &mut moment);
        moment.take()
    }
}

impl fmt::Debug for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Machine")
            .field("state", self.inner.state())
            .field("course", self.inner.inner())
            .finish()
    }
}

/// The present instant and the action that a handler chose.
#[derive(Debug)]
struct Moment {
    now: Instant,
    action: Option<Action>,
}

impl Moment {
    fn take(&mut self) -> Action {
        let action = self.action.take();
        action.unwrap_or(Action::Wait { until: self.now })
    }
}

/// Data of an acceptance that all its states share.
#[derive(Debug)]
struct Course {
    proposal: Proposal,
    /// Contents that are still to be stored, the next one last.
    objects: Vec<Vec<u8>>,
    expires_at: Instant,
    random: StdRng,
    longest_wait: Duration,
    /// Whether a transaction was sent whose outcome is not known.
    is_in_doubt: bool,
}

#[state_machine(
    initial = "State::reading()",
    state(derive(Debug)),
    superstate(derive(Debug))
)]
impl Course {
    /// Stores the contents, one after the other.
    #[state(superstate = "asking", entry_action = "put_next")]
    fn storing(&mut self, context: &mut Moment, event: &Event) -> Outcome<State> {
        match event {
            Event::Stored => {
                self.objects.pop();
                self.longest_wait = FIRST_WAIT;
                if self.objects.is_empty() {
                    return Transition(State::reading());
                }
                self.put_next(context);
                Handled
            }
            Event::Timer => {
                self.put_next(context);
                Handled
            }
            _ => Super,
        }
    }

    /// Reads the head.
    #[state(superstate = "asking", entry_action = "read_head")]
    fn reading(&mut self, context: &mut Moment, event: &Event) -> Outcome<State> {
        match event {
            Event::Row(row) => self.judge(context, row.as_ref()),
            Event::Timer => {
                Self::read_head(context);
                Handled
            }
            _ => Super,
        }
    }

    /// Waits before the head is read after a failed transaction.
    #[state(entry_action = "wait")]
    fn pausing(until: &Instant, event: &Event, context: &mut Moment) -> Outcome<State> {
        if *event == Event::Timer {
            return Transition(State::reading());
        }
        Self::wait(until, context);
        Handled
    }

    /// Waits for the outcome of the transaction.
    #[state(superstate = "asking", entry_action = "transact")]
    fn transacting(
        &mut self,
        context: &mut Moment,
        transaction: &Transaction,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Outcome { committed: true } => {
                context.action = Some(Action::End(Ending::Accepted(self.proposal.head())));
                Transition(State::ended())
            }
            Event::Outcome { committed: false } => Transition(State::reading()),
            Event::Failed {
                may_have_taken_effect,
            } => {
                self.is_in_doubt |= may_have_taken_effect;
                let until = context.now + self.pause();
                Transition(State::pausing(until))
            }
            Event::Timer => {
                context.action = Some(Action::Transact(transaction.clone()));
                Handled
            }
            _ => Super,
        }
    }

    /// Reads whose version stands after the base.
    #[state(superstate = "asking", entry_action = "read_history")]
    fn settling(&mut self, context: &mut Moment, newest: &Head, event: &Event) -> Outcome<State> {
        match event {
            Event::Row(row) => {
                let ending = self.settle(newest, row.as_ref());
                context.action = Some(Action::End(ending));
                Transition(State::ended())
            }
            Event::Timer => {
                self.read_history(context);
                Handled
            }
            _ => Super,
        }
    }

    /// Does nothing more.
    #[state]
    fn ended() -> Outcome<State> {
        Handled
    }

    /// Waits and asks again after a failure, or gives up.
    #[superstate]
    fn asking(&mut self, context: &mut Moment) -> Outcome<State> {
        if context.now < self.expires_at {
            let until = context.now + self.pause();
            context.action = Some(Action::Wait { until });
            return Handled;
        }
        context.action = Some(Action::End(self.give_up()));
        Transition(State::ended())
    }

    #[action]
    fn put_next(&mut self, context: &mut Moment) {
        context.action = self.objects.last().map(|content| Action::Put {
            digest: hash(content),
            content: content.clone(),
        });
    }

    #[action]
    fn read_head(context: &mut Moment) {
        let key = Head::KEY.to_owned();
        context.action = Some(Action::Read { key });
    }

    #[action]
    fn wait(until: &Instant, context: &mut Moment) {
        context.action = Some(Action::Wait { until: *until });
    }

    #[action]
    fn transact(transaction: &Transaction, context: &mut Moment) {
        context.action = Some(Action::Transact(transaction.clone()));
    }

    #[action]
    fn read_history(&mut self, context: &mut Moment) {
        let version: VersionId = self.proposal.head().version;
        let key = Head::history_key(version);
        context.action = Some(Action::Read { key });
    }
}

impl Course {
    fn judge(&mut self, context: &mut Moment, row: Option<&Row>) -> Outcome<State> {
        let ending = match self.proposal.step(row) {
            Ok(Step::Transact(_)) if context.now >= self.expires_at => self.give_up(),
            Ok(Step::Transact(_)) if !self.objects.is_empty() => {
                return Transition(State::storing());
            }
            Ok(Step::Transact(transaction)) => {
                return Transition(State::transacting(transaction));
            }
            Ok(Step::Conflict(newest)) if newest.version > self.proposal.base => {
                return Transition(State::settling(newest));
            }
            Ok(Step::Conflict(newest)) => Ending::Conflict { newest },
            Ok(Step::Accepted(head)) => Ending::Accepted(head),
            Err(_unreadable) if self.is_in_doubt => Ending::Unsettled,
            Err(error) => Ending::Broken(error),
        };
        context.action = Some(Action::End(ending));
        Transition(State::ended())
    }

    fn settle(&self, newest: &Head, row: Option<&Row>) -> Ending {
        match row.map(|row| Head::decode(&row.value)) {
            Some(Ok(head)) if head == self.proposal.head() => Ending::Accepted(head),
            Some(Err(_unreadable)) if self.is_in_doubt => Ending::Unsettled,
            Some(Err(error)) => Ending::Broken(error),
            Some(Ok(_)) | None => Ending::Conflict {
                newest: newest.clone(),
            },
        }
    }

    fn give_up(&self) -> Ending {
        if self.is_in_doubt {
            Ending::Unsettled
        } else {
            Ending::Unavailable
        }
    }

    /// Draws the next wait and doubles the longest one.
    fn pause(&mut self) -> Duration {
        let pause = self.longest_wait.mul_f64(self.random.random::<f64>());
        self.longest_wait = (self.longest_wait * 2).min(LONGEST_WAIT);
        pause
    }
}
