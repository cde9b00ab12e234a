//! The headers by which nodes tell each other what a call and its reply are.

use std::time::{Duration, Instant};

use hyper::{HeaderMap, Request, Response, StatusCode, http::HeaderValue};
use lentilshunt_core::{
    id::VersionId,
    quarantine::Fingerprint,
    verdict::{Reason, Verdict},
};

use super::{
    Call, Reply,
    body::{Body, status_response},
    clock::Moment,
    header::end_to_end,
};

/// Header of a call between nodes.
const CALL: &str = "lentilshunt-call";
/// Header of a reply between nodes.
const REPLY: &str = "lentilshunt-reply";
/// Stands for a value that is absent.
const NONE: &str = "-";

/// Writes the header of a call: its parts separated by spaces, times in milliseconds.
#[must_use]
pub fn write_call(call: &Call, version: VersionId) -> Option<(&'static str, HeaderValue)> {
    let kind = if call.idempotent { 'i' } else { 'n' };
    let age = if call.late { 'l' } else { 'p' };
    let target = call.target_at.saturating_duration_since(Instant::now());
    let text = format!(
        "{} {} {kind} {age} {} {} {} {version} {:x}",
        call.service,
        call.caller,
        call.rank,
        call.remaining().as_millis(),
        target.as_millis(),
        call.fingerprint,
    );
    Some((CALL, HeaderValue::try_from(text).ok()?))
}

/// Reads a call and the version of its sender.
///
/// Returns none when the header is missing or malformed. `request` is the name
/// of the header with the id of the request.
#[must_use]
pub fn read_call<B>(
    request: &Request<B>,
    id: &hyper::header::HeaderName,
) -> Option<(Call, VersionId)> {
    let headers = request.headers();
    let mut parts = headers.get(CALL)?.to_str().ok()?.split(' ');
    let arrived_at = Moment::now();
    let service = parts.next()?.into();
    let caller = parts.next()?.to_owned();
    let idempotent = match parts.next()? {
        "i" => true,
        "n" => false,
        _ => return None,
    };
    let late = match parts.next()? {
        "l" => true,
        "p" => false,
        _ => return None,
    };
    let rank = parts.next()?.parse().ok()?;
    let deadline = arrived_at.instant() + Duration::from_millis(parts.next()?.parse().ok()?);
    let target_at = arrived_at.instant() + Duration::from_millis(parts.next()?.parse().ok()?);
    let version = parts.next()?.parse().ok()?;
    let fingerprint = Fingerprint::from_str_radix(parts.next()?, 16).ok()?;
    let call = Call {
        request_id: text(headers, id.as_str()),
        service,
        caller,
        method: request.method().clone(),
        path: request.uri().path_and_query()?.as_str().to_owned(),
        headers: end_to_end(headers),
        idempotent,
        rank,
        arrived_at,
        deadline,
        target_at,
        late,
        fingerprint,
    };
    Some((call, version))
}

/// Writes a reply as the response to the node that sent the call.
#[must_use]
pub fn write_reply(reply: Reply, free_slots: u32, version: VersionId) -> Response<Body> {
    let reason = reply.reason.map(|reason| reason.to_string());
    let reached_upstream = u8::from(reply.reached_upstream);
    let text = format!(
        "{} {} {reached_upstream} {free_slots} {version}",
        reply.verdict,
        reason.as_deref().unwrap_or(NONE),
    );
    let refused = || status_response(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = reply.response.unwrap_or_else(refused);
    if let Ok(value) = HeaderValue::try_from(text) {
        response.headers_mut().insert(REPLY, value);
    }
    response
}

/// Reads the reply of an executing node; without its header, none is returned.
#[must_use]
pub fn read_reply(mut response: Response<Body>) -> Option<Reply> {
    let header = response.headers_mut().remove(REPLY)?;
    let mut parts = header.to_str().ok()?.split(' ');
    let verdict = Verdict::from_header(parts.next()?)?;
    let reason = Reason::from_header(parts.next()?);
    let reached_upstream = parts.next()? == "1";
    let free_slots = parts.next()?.parse().ok();
    let version = parts.next()?.parse().ok();
    Some(Reply {
        verdict,
        reason,
        reached_upstream,
        free_slots,
        version,
        response: (verdict == Verdict::Ran).then_some(response),
    })
}

/// Returns the text of a header; a missing or unreadable one is empty.
#[must_use]
pub fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
