//! Asks the platform what a strategy wants to know.

use lentilshunt_core::dissemination::{Answer, Question};
use lentilshunt_net::platform::{Store, Table};

/// Returns the platform's answer, or none when there was none in time.
pub(super) async fn ask(
    table: &dyn Table,
    store: &dyn Store,
    question: Question,
) -> Option<Answer> {
    let answer = match question {
        Question::Read { key } => table.read(key).await.map(Answer::Row),
        Question::Scan { prefix } => table.scan(prefix).await.map(Answer::Rows),
        Question::Transact(transaction) => table.transact(transaction).await.map(Answer::Outcome),
        Question::Fetch { digest } => store.get(digest).await.map(Answer::Object),
    };
    match answer {
        Ok(answer) => Some(answer),
        Err(_unavailable) => {
            metrics::counter!("lentilshunt_platform_failures_total").increment(1);
            None
        }
    }
}
