//! Asks the platform what a strategy wants to know.

use lentilshunt_core::dissemination::{
    Answer, Link, Question, REQUEST_OVERHEAD, RESPONSE_OVERHEAD,
};
use lentilshunt_net::platform::{Store, Table};
use serde::Serialize;

use super::exchange::count_bytes;

/// Returns the platform's answer, or none when there was none in time.
pub(super) async fn query_platform(
    table: &dyn Table,
    store: &dyn Store,
    question: Question,
) -> Option<Answer> {
    let sent = match &question {
        Question::Transact(transaction) => size(transaction),
        Question::Read { .. } | Question::Scan { .. } | Question::Fetch { .. } => 0,
    };
    count_bytes(Link::Platform, sent + REQUEST_OVERHEAD);
    let answer = match question {
        Question::Read { key } => table.read(key).await.map(Answer::Row),
        Question::Scan { prefix } => table.scan(prefix).await.map(Answer::Rows),
        Question::Transact(transaction) => table.transact(transaction).await.map(Answer::Outcome),
        Question::Fetch { digest } => store.get(digest).await.map(Answer::Object),
    };
    match answer {
        Ok(answer) => {
            count_bytes(Link::Platform, received(&answer) + RESPONSE_OVERHEAD);
            Some(answer)
        }
        Err(_unavailable) => {
            metrics::counter!("lentilshunt_platform_failures_total").increment(1);
            None
        }
    }
}

fn received(answer: &Answer) -> usize {
    match answer {
        Answer::Row(row) => row.as_ref().map_or(0, size),
        Answer::Rows(rows) => size(rows),
        Answer::Outcome(outcome) => size(outcome),
        Answer::Object(content) => content.as_ref().map_or(0, Vec::len),
    }
}

/// Returns the bytes of a body as the platform encodes it.
fn size(value: &impl Serialize) -> usize {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len())
}
