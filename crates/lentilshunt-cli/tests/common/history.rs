//! Checks a concurrent history of acceptances against a sequential model.

use std::{collections::BTreeMap, time::Instant};

use lentilshunt_core::config::Head;

/// What an operator was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The version after the base was accepted.
    Accepted,
    /// Nothing was accepted.
    NotAccepted,
    /// It is not known whether a version was accepted.
    Unknown,
}

/// One acceptance from its call to its answer.
#[derive(Clone, Debug)]
pub struct Operation {
    pub id: String,
    pub base: u64,
    pub answer: Answer,
    pub called_at: Instant,
    pub answered_at: Instant,
}

/// Replays the versions that the platform holds in their order.
///
/// The model is one register: an acceptance succeeds exactly if its base is
/// the version in force. Returns the first way in which the history differs.
pub fn check(versions: &[Head], operations: &[Operation]) -> Result<(), String> {
    let by_id: BTreeMap<&str, &Operation> = operations
        .iter()
        .map(|operation| (operation.id.as_str(), operation))
        .collect();
    let mut latest_call = None;
    for (head, base) in versions.iter().zip(0..) {
        let version = head.version;
        if version != base + 1 {
            return Err(format!("version {version} follows version {base}"));
        }
        let Some(operation) = by_id.get(head.operation.as_str()) else {
            return Err(format!("nobody proposed version {version}"));
        };
        if operation.base != base || operation.answer == Answer::NotAccepted {
            return Err(format!("version {version} contradicts {operation:?}"));
        }
        // A version cannot follow one that was called only after its answer.
        if latest_call.is_some_and(|called| called > operation.answered_at) {
            return Err(format!(
                "version {version} was answered before its predecessor's call"
            ));
        }
        latest_call = latest_call.max(Some(operation.called_at));
    }
    let lost = operations.iter().find(|operation| {
        let mut held = versions.iter();
        operation.answer == Answer::Accepted && !held.any(|head| head.operation == operation.id)
    });
    lost.map_or(Ok(()), |operation| Err(format!("{operation:?} is lost")))
}
