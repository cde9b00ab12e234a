//! Compares what callers were told with what ran.

use std::collections::{BTreeMap, BTreeSet};

use lentilshunt_schema::history::{Event, Kind};

/// Counts of calls by how they ended, and of broken promises.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Runs {
    /// Calls that callers sent.
    pub sent: u64,
    /// Calls that were answered with the answer of an upstream.
    pub answered: u64,
    /// Calls whose callers were told that they were not run.
    pub refused_not_run: u64,
    /// Calls whose callers were told that they may have run, or were told nothing.
    pub may_have_run: u64,
    /// Calls that were answered although nothing ran, or with another body.
    pub lost: u64,
    /// Non-idempotent calls that ran more than once.
    pub duplicated: u64,
    /// Calls that ran although their callers were told that they were not run.
    pub false_not_run: u64,
}

impl Runs {
    /// Judges a history.
    #[must_use]
    pub fn judge(history: &[Event]) -> Self {
        let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
        for event in history {
            if let (Kind::RunBegun, Some(key)) = (event.kind, &event.key) {
                *runs.entry(key).or_default() += 1;
            }
        }
        let mut result = Self::default();
        let mut unanswered: BTreeSet<&str> = BTreeSet::new();
        for event in history {
            let Some(key) = event.key.as_deref() else {
                continue;
            };
            let count = runs.get(key).copied().unwrap_or_default();
            match event.kind {
                Kind::Sent => {
                    result.sent += 1;
                    unanswered.insert(key);
                    if event.idempotent == Some(false) && count > 1 {
                        result.duplicated += 1;
                    }
                }
                Kind::Replied => {
                    unanswered.remove(key);
                    result.replied(event, count);
                }
                _ => {}
            }
        }
        result.may_have_run += unanswered.len() as u64;
        result
    }

    fn replied(&mut self, event: &Event, runs: u64) {
        match event.verdict.as_deref() {
            Some("ran") => {
                self.answered += 1;
                if runs == 0 || event.digest != event.expected {
                    self.lost += 1;
                }
            }
            Some("not-run") => {
                self.refused_not_run += 1;
                if runs > 0 {
                    self.false_not_run += 1;
                }
            }
            _ => self.may_have_run += 1,
        }
    }
}
