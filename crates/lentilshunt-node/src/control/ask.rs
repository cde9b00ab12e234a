//! Asks the platform what a strategy wants to know.

use lentilshunt_core::dissemination::{
    LinkClass, PlatformRequest, PlatformResponse, REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES,
};
use lentilshunt_net::platform::{Store, Table};
use serde::Serialize;

use super::exchange::count;

/// Returns the platform's answer, or none when there was none in time.
pub(super) async fn ask(
    table: &dyn Table,
    store: &dyn Store,
    request: PlatformRequest,
) -> Option<PlatformResponse> {
    let sent = match &request {
        PlatformRequest::Transact(transaction) => size(transaction),
        PlatformRequest::Read { .. }
        | PlatformRequest::Scan { .. }
        | PlatformRequest::Fetch { .. } => 0,
    };
    count(LinkClass::Platform, sent + REQUEST_OVERHEAD_BYTES);
    let response = match request {
        PlatformRequest::Read { key } => table.read(key).await.map(PlatformResponse::Row),
        PlatformRequest::Scan { prefix } => table.scan(prefix).await.map(PlatformResponse::Rows),
        PlatformRequest::Transact(transaction) => table
            .transact(transaction)
            .await
            .map(PlatformResponse::Outcome),
        PlatformRequest::Fetch { digest } => store.get(digest).await.map(PlatformResponse::Object),
    };
    match response {
        Ok(response) => {
            count(
                LinkClass::Platform,
                received(&response) + RESPONSE_OVERHEAD_BYTES,
            );
            Some(response)
        }
        Err(_unavailable) => {
            metrics::counter!("lentilshunt_platform_failures_total").increment(1);
            None
        }
    }
}

fn received(response: &PlatformResponse) -> usize {
    match response {
        PlatformResponse::Row(row) => row.as_ref().map_or(0, size),
        PlatformResponse::Rows(rows) => size(rows),
        PlatformResponse::Outcome(outcome) => size(outcome),
        PlatformResponse::Object(content) => content.as_ref().map_or(0, Vec::len),
    }
}

/// Returns the bytes of a body as the platform encodes it.
fn size(value: &impl Serialize) -> usize {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len())
}
