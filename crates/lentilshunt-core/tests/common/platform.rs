//! In-memory platform with fault injection, and an operator that runs an acceptance against it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use lentilshunt_core::config::{
    Head,
    acceptance::{Acceptance, AcceptanceOutcome, Action, Event, NextStep, Proposal},
};
use lentilshunt_schema::platform::{Expectation, Row, Transaction};
use rand::{SeedableRng, rngs::StdRng};

/// Time until a request fails.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of requests of one acceptance.
pub const MAX_REQUESTS: usize = 1000;

/// Table that applies transactions serially, and a list of delayed requests.
#[derive(Debug, Default)]
pub struct Platform {
    pub rows: BTreeMap<String, Row>,
    pub delayed: Vec<Action>,
    revision: u64,
}

impl Platform {
    /// Applies the request of an action and returns the response.
    pub fn apply(&mut self, action: &Action) -> Event {
        match action {
            Action::Put { .. } => Event::Stored,
            Action::Read { key } => Event::Row(self.rows.get(key).cloned()),
            Action::Transact(transaction) => Event::TransactionEnded {
                committed: self.transact(transaction),
            },
            Action::Wait { .. } | Action::End(_) => Event::Timer,
        }
    }

    /// Applies all delayed requests.
    pub fn deliver_delayed(&mut self) {
        for action in std::mem::take(&mut self.delayed) {
            self.apply(&action);
        }
    }

    /// Accepts the next version on behalf of another operator.
    pub fn accept_other_version(&mut self) {
        let head = self.head();
        let proposal = Proposal {
            operation: format!("other/{}", head.version + 1),
            base: head.version,
            digest: "other".to_owned(),
        };
        let row = self.rows.get(Head::KEY).cloned();
        let step = proposal.next_step(row.as_ref()).expect("a head");
        let NextStep::Transact(transaction) = step else {
            panic!("the proposal is based on the head");
        };
        assert!(self.transact(&transaction), "no concurrent transaction");
    }

    pub fn head(&self) -> Head {
        let row = self.rows.get(Head::KEY);
        row.map_or_else(Head::default, |row| {
            Head::decode(&row.value).expect("a head")
        })
    }

    /// Returns the history and checks that it has no gaps and ends with the head.
    pub fn history(&self) -> Vec<Head> {
        let rows = self.rows.range(Head::HISTORY_PREFIX.to_owned()..);
        let rows = rows.take_while(|(key, _)| key.starts_with(Head::HISTORY_PREFIX));
        let heads: Vec<Head> = rows
            .map(|(_, row)| Head::decode(&row.value).expect("a head"))
            .collect();
        let versions: Vec<u64> = heads.iter().map(|head| head.version).collect();
        let expected: Vec<u64> = (1..=heads.len() as u64).collect();
        assert_eq!(versions, expected, "the history has no gaps");
        assert_eq!(heads.last().cloned().unwrap_or_default(), self.head());
        heads
    }

    fn transact(&mut self, transaction: &Transaction) -> bool {
        let committed = transaction.conditions.iter().all(|condition| {
            let found = self.rows.get(&condition.key).map(|row| row.revision);
            match condition.expectation {
                Expectation::Absent => found.is_none(),
                Expectation::Revision(revision) => found == Some(revision),
            }
        });
        if committed {
            self.revision += 1;
            for write in &transaction.writes {
                let row = Row {
                    key: write.key.clone(),
                    value: write.value.clone().unwrap_or_default(),
                    revision: self.revision,
                };
                self.rows.insert(write.key.clone(), row);
            }
        }
        committed
    }
}

/// Fault that is injected into one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The request takes effect and the response arrives.
    None,
    /// The platform refuses the request without effect.
    Refused,
    /// The request is lost.
    RequestLost,
    /// The request takes effect and the response is lost.
    ResponseLost,
    /// The request takes effect only after it has timed out.
    Delayed,
    /// Other operators accept versions before the request takes effect.
    VersionsAcceptedBefore,
    /// The request takes effect, the response is lost, and other operators accept versions.
    VersionsAcceptedAfter,
}

impl Fault {
    pub const ALL: [Self; 7] = [
        Self::None,
        Self::Refused,
        Self::RequestLost,
        Self::ResponseLost,
        Self::Delayed,
        Self::VersionsAcceptedBefore,
        Self::VersionsAcceptedAfter,
    ];
}

/// An operator with an acceptance in progress.
#[derive(Debug)]
pub struct Operator {
    pub proposal: Proposal,
    acceptance: Acceptance,
    action: Option<Action>,
    now: Instant,
    outcome: Option<AcceptanceOutcome>,
}

impl Operator {
    pub fn start(name: &str, base: u64, timeout: Duration) -> Self {
        let proposal = Proposal {
            operation: name.to_owned(),
            base,
            digest: "content".to_owned(),
        };
        let now = Instant::now();
        let objects = vec![b"manifest".to_vec(), b"topology".to_vec()];
        let random = StdRng::seed_from_u64(7);
        let (acceptance, action) =
            Acceptance::start(proposal.clone(), objects, now + timeout, random, now);
        Self {
            proposal,
            acceptance,
            action: Some(action),
            now,
            outcome: None,
        }
    }

    pub fn outcome(&self) -> Option<&AcceptanceOutcome> {
        self.outcome.as_ref()
    }

    /// Carries out all waits, then sends the next request.
    ///
    /// Returns whether there was a request.
    pub fn step(&mut self, platform: &mut Platform, fault: Fault) -> bool {
        let mut action = self.action.take();
        while let Some(Action::Wait { until }) = action {
            self.now = self.now.max(until);
            action = Some(self.acceptance.handle(self.now, &Event::Timer));
        }
        match action {
            None => false,
            Some(Action::End(outcome)) => {
                self.outcome = Some(outcome);
                false
            }
            Some(request) => {
                let event = self.send(platform, request, fault);
                self.action = Some(self.acceptance.handle(self.now, &event));
                true
            }
        }
    }

    /// Sends requests without faults until the acceptance ends.
    pub fn finish(&mut self, platform: &mut Platform) {
        let mut requests = 0..MAX_REQUESTS;
        while self.step(platform, Fault::None) {
            assert!(requests.next().is_some(), "too many requests: {self:?}");
        }
    }

    /// Checks the outcome against the history of the platform.
    pub fn check(&self, history: &[Head]) {
        let own = |head: &&Head| head.operation == self.proposal.operation;
        let found: Vec<&Head> = history.iter().filter(own).collect();
        let expected = self.proposal.head();
        assert!(found.is_empty() || found == [&expected], "{found:?}");
        match &self.outcome {
            Some(AcceptanceOutcome::Accepted(head)) => assert_eq!(found, [head]),
            Some(AcceptanceOutcome::Unsettled) | None => {}
            Some(outcome) => assert!(found.is_empty(), "{outcome:?}: {found:?}"),
        }
    }

    fn send(&mut self, platform: &mut Platform, request: Action, fault: Fault) -> Event {
        let refused = Event::Failed {
            may_have_taken_effect: false,
        };
        let lost = Event::Failed {
            may_have_taken_effect: true,
        };
        if !matches!(fault, Fault::None | Fault::VersionsAcceptedBefore) {
            self.now += REQUEST_TIMEOUT;
        }
        match fault {
            Fault::None => platform.apply(&request),
            Fault::Refused => refused,
            Fault::RequestLost => lost,
            Fault::ResponseLost => {
                platform.apply(&request);
                lost
            }
            Fault::Delayed => {
                platform.delayed.push(request);
                lost
            }
            Fault::VersionsAcceptedBefore => {
                platform.accept_other_version();
                platform.accept_other_version();
                platform.apply(&request)
            }
            Fault::VersionsAcceptedAfter => {
                platform.apply(&request);
                platform.accept_other_version();
                platform.accept_other_version();
                lost
            }
        }
    }
}
