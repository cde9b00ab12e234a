//! Sends the requests of a dissemination strategy to the platform.

use lentilshunt_core::dissemination::{
    Answer, Link, Question, REQUEST_OVERHEAD, RESPONSE_OVERHEAD,
};
use lentilshunt_net::platform::{Store, Table};
use serde::Serialize;

use super::exchange::count_bytes;

/// Returns the response of the platform, or none when the request failed or timed out.
pub(super) async fn query_platform(
    table: &dyn Table,
    store: &dyn Store,
    question: Question,
) -> Option<Answer> {
    let request_size = match &question {
        Question::Transact(transaction) => encoded_size(transaction),
        Question::Read { .. } | Question::Scan { .. } | Question::Fetch { .. } => 0,
    };
    count_bytes(Link::Platform, request_size + REQUEST_OVERHEAD);
    let answer = match question {
        Question::Read { key } => table.read(key).await.map(Answer::Row),
        Question::Scan { prefix } => table.scan(prefix).await.map(Answer::Rows),
        Question::Transact(transaction) => table.transact(transaction).await.map(Answer::Outcome),
        Question::Fetch { digest } => store.get(digest).await.map(Answer::Object),
    };
    match answer {
        Ok(answer) => {
            count_bytes(Link::Platform, response_size(&answer) + RESPONSE_OVERHEAD);
            Some(answer)
        }
        Err(_unavailable) => {
            metrics::counter!("lentilshunt_platform_failures_total").increment(1);
            None
        }
    }
}

fn response_size(answer: &Answer) -> usize {
    match answer {
        Answer::Row(row) => row.as_ref().map_or(0, encoded_size),
        Answer::Rows(rows) => encoded_size(rows),
        Answer::Outcome(outcome) => encoded_size(outcome),
        Answer::Object(content) => content.as_ref().map_or(0, Vec::len),
    }
}

/// Returns the size of a body in the encoding of the platform, in bytes.
fn encoded_size(value: &impl Serialize) -> usize {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len())
}
