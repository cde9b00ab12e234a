//! Compares the responses to calls with the runs on upstreams.

use std::collections::BTreeMap;

use lentilshunt_schema::history::{Event, Kind};

use super::{Invariant, Violation};

/// Calls by outcome, and violations of the call invariants.
///
/// A call consists of all attempts with the same idempotency key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallSummary {
    /// Calls that were sent.
    pub sent: u64,
    /// Calls with the response of an upstream.
    pub answered: u64,
    /// Calls whose attempts were all reported as not run or not sent.
    pub refused_not_run: u64,
    /// Calls that may have run, including those without a response.
    pub may_have_run: u64,
    /// Attempts with a response although nothing ran, or with an unexpected body.
    pub lost: u64,
    /// Non-idempotent calls that ran more than once.
    pub duplicated: u64,
    /// Attempts that were reported as not run although a matching run exists.
    pub false_not_run: u64,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

/// Events of one call.
#[derive(Debug, Default)]
struct Call<'a> {
    sent: Vec<&'a Event>,
    replied: Vec<&'a Event>,
    begun: Vec<&'a Event>,
}

impl CallSummary {
    /// Counts the calls of a history and checks each of them.
    #[must_use]
    pub fn from_history(history: &[Event]) -> Self {
        let mut calls: BTreeMap<&str, Call<'_>> = BTreeMap::new();
        for event in history {
            let Some(key) = event.key.as_deref() else {
                continue;
            };
            match event.kind {
                Kind::Sent => calls.entry(key).or_default().sent.push(event),
                Kind::Replied => calls.entry(key).or_default().replied.push(event),
                Kind::RunBegun => calls.entry(key).or_default().begun.push(event),
                _ => {}
            }
        }
        let mut result = Self::default();
        for (key, call) in &calls {
            result.count(call);
            result.check_call(key, call);
        }
        result
    }

    fn count(&mut self, call: &Call<'_>) {
        if call.sent.is_empty() {
            return;
        }
        self.sent += 1;
        let is_not_run = |event: &&&Event| matches!(verdict(event), Some("not-run" | "not-sent"));
        let not_run = call.replied.iter().filter(is_not_run).count();
        let mut replied = call.replied.iter();
        if replied.any(|event| verdict(event) == Some("ran")) {
            self.answered += 1;
        } else if not_run == call.sent.len() {
            self.refused_not_run += 1;
        } else {
            self.may_have_run += 1;
        }
    }

    fn check_call(&mut self, key: &str, call: &Call<'_>) {
        for replied in &call.replied {
            match verdict(replied) {
                Some("ran") => self.check_response(key, call, replied),
                Some("not-run" | "not-sent") => self.check_not_run(key, call, replied),
                _ => {}
            }
        }
        if !call.is_idempotent() && call.begun.len() > 1 {
            self.duplicated += 1;
            let runs: Vec<_> = call
                .begun
                .iter()
                .map(|run| format!("{} {}", run.at_us, run.process))
                .collect();
            let detail = format!("ran {} times: {}", runs.len(), runs.join(", "));
            self.add_violation(Invariant::AtMostOnce, call.begun[1].at_us, key, detail);
        }
    }

    fn check_response(&mut self, key: &str, call: &Call<'_>, replied: &Event) {
        let detail = if call.begun.is_empty() {
            "response although nothing ran"
        } else if replied.digest != replied.expected {
            "response with an unexpected body"
        } else {
            return;
        };
        self.lost += 1;
        self.add_violation(Invariant::MatchingResponse, replied.at_us, key, detail);
    }

    fn check_not_run(&mut self, key: &str, call: &Call<'_>, replied: &Event) {
        let Some(run) = call.contradicting_run(replied) else {
            return;
        };
        self.false_not_run += 1;
        let detail = format!(
            "reported not-run ({}) at {}, ran at {} on {}",
            replied.detail.as_deref().unwrap_or("no reason"),
            replied.at_us,
            run.at_us,
            run.process
        );
        self.add_violation(Invariant::AccurateNotRun, replied.at_us, key, detail);
    }

    fn add_violation(
        &mut self,
        invariant: Invariant,
        at_us: u64,
        key: &str,
        detail: impl Into<String>,
    ) {
        self.violations
            .push(Violation::new(invariant, at_us, key, detail));
    }
}

impl Call<'_> {
    fn is_idempotent(&self) -> bool {
        self.sent
            .iter()
            .all(|event| event.idempotent != Some(false))
    }

    /// Returns a run that contradicts a `not-run` response, whenever it began.
    ///
    /// For an idempotent call, and for an attempt that was not sent, that is a run of
    /// the same attempt. For any other it is a run of any attempt that was sent before
    /// the response, since the caller applies the response to the request as a whole.
    fn contradicting_run(&self, replied: &Event) -> Option<&Event> {
        let contradicts = |run: &&&Event| {
            let attempt = attempt(run);
            if attempt == self::attempt(replied) {
                return true;
            }
            let sent = self.sent.iter().find(|sent| self::attempt(sent) == attempt);
            let covers_request = verdict(replied) == Some("not-run");
            covers_request
                && !self.is_idempotent()
                && sent.is_none_or(|sent| sent.at_us <= replied.at_us)
        };
        self.begun.iter().find(contradicts).copied()
    }
}

fn verdict(event: &Event) -> Option<&str> {
    event.verdict.as_deref()
}

/// Returns the id of an attempt, or the key of a call whose only attempt has no id.
fn attempt(event: &Event) -> Option<&str> {
    event.attempt.as_deref().or(event.key.as_deref())
}
