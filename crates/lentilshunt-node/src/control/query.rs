//! Sends the requests of a dissemination strategy to the platform.

use lentilshunt_core::dissemination::{
    LinkClass, PlatformRequest, PlatformResponse, REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES,
};
use lentilshunt_net::platform::{Store, Table};
use serde::Serialize;

use super::exchange::count_bytes;

/// Returns the response of the platform, or none when the request failed or timed out.
pub(super) async fn query_platform(
    metadata_table: &dyn Table,
    object_store: &dyn Store,
    request: PlatformRequest,
) -> Option<PlatformResponse> {
    let request_size = match &request {
        PlatformRequest::Transact(transaction) => encoded_size(transaction),
        PlatformRequest::Read { .. }
        | PlatformRequest::Scan { .. }
        | PlatformRequest::Fetch { .. } => 0,
    };
    count_bytes(LinkClass::Platform, request_size + REQUEST_OVERHEAD_BYTES);
    let response = match request {
        PlatformRequest::Read { key } => metadata_table.read(key).await.map(PlatformResponse::Row),
        PlatformRequest::Scan { prefix } => metadata_table
            .scan(prefix)
            .await
            .map(PlatformResponse::Rows),
        PlatformRequest::Transact(transaction) => metadata_table
            .transact(transaction)
            .await
            .map(PlatformResponse::Outcome),
        PlatformRequest::Fetch { digest } => {
            object_store.get(digest).await.map(PlatformResponse::Object)
        }
    };
    match response {
        Ok(response) => {
            count_bytes(
                LinkClass::Platform,
                response_size(&response) + RESPONSE_OVERHEAD_BYTES,
            );
            Some(response)
        }
        Err(_unavailable) => {
            metrics::counter!("lentilshunt_platform_failures_total").increment(1);
            None
        }
    }
}

fn response_size(response: &PlatformResponse) -> usize {
    match response {
        PlatformResponse::Row(row) => row.as_ref().map_or(0, encoded_size),
        PlatformResponse::Rows(rows) => encoded_size(rows),
        PlatformResponse::Outcome(outcome) => encoded_size(outcome),
        PlatformResponse::Object(content) => content.as_ref().map_or(0, Vec::len),
    }
}

/// Returns the size of a body in the encoding of the platform, in bytes.
fn encoded_size(value: &impl Serialize) -> usize {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len())
}
