//! Deletion of expired claims.

use std::time::SystemTime;

use lentilshunt_schema::platform::{Condition, Expectation, Row, Transaction, Write};

use super::{Claim, KEY_PREFIX, SWEEP_MARGIN};
use crate::encoding;

/// Leading hexadecimal digits of the row key that select the shard of a claim.
const SHARD_DIGITS: u32 = 3;

/// Returns the key prefix of one of the 4096 shards of all claims, selected by `random`.
#[must_use]
pub fn shard_prefix(random: u32) -> String {
    let shard = random % 16_u32.pow(SHARD_DIGITS);
    format!("{KEY_PREFIX}{shard:03x}")
}

/// Returns the transaction that deletes up to `limit` expired claims.
///
/// Each row is deleted only at the revision that was read, so that a claim that
/// was replaced in the meantime is kept. Rows that cannot be decoded are kept.
/// Returns none if there is nothing to delete.
#[must_use]
pub fn sweep_transaction(rows: &[Row], now: SystemTime, limit: usize) -> Option<Transaction> {
    let expired: Vec<&Row> = rows
        .iter()
        .filter(|row| is_expired(row, now))
        .take(limit)
        .collect();
    if expired.is_empty() {
        return None;
    }
    let condition = |row: &&Row| Condition {
        key: row.key.clone(),
        expectation: Expectation::Revision(row.revision),
    };
    let write = |row: &&Row| Write {
        key: row.key.clone(),
        value: None,
    };
    Some(Transaction {
        conditions: expired.iter().map(condition).collect(),
        writes: expired.iter().map(write).collect(),
    })
}

fn is_expired(row: &Row, now: SystemTime) -> bool {
    let Ok(claim) = encoding::decode::<Claim>(&row.value) else {
        return false;
    };
    let since_epoch = now.duration_since(SystemTime::UNIX_EPOCH);
    let Some(limit) = since_epoch
        .ok()
        .and_then(|now| now.checked_sub(SWEEP_MARGIN))
    else {
        return false;
    };
    u128::from(claim.expires_us) < limit.as_micros()
}
