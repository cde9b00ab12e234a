//! Encoding of calls and replies in the headers between nodes.

use std::time::{Duration, Instant};

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    header::{CONNECTION, EXPECT, HeaderValue},
};
use lentilshunt_core::{
    id::VersionId,
    overload::{Kind, Notice, Patience},
    quarantine::Fingerprint,
    verdict::{Reason, Verdict},
};

use super::{
    Call, Reply,
    body::{Body, status_response},
    clock::Moment,
    header::end_to_end,
};

/// Header that carries the metadata of a call.
const CALL_HEADER: &str = "lentilshunt-call";
/// Header that carries the metadata of a reply.
const REPLY_HEADER: &str = "lentilshunt-reply";
/// Header that carries what an upstream has said of itself, in calls and replies.
const NOTICE_HEADER: &str = "lentilshunt-upstream";
/// Encoding of an upstream that leaves.
const LEAVING: &str = "leaving";
/// Encoding of an absent value.
const ABSENT: &str = "-";

/// Encodes a call and the version of the sender as a header name and value.
///
/// The fields are separated by spaces; times are in milliseconds. Returns `None`
/// if a field cannot be part of a header value.
#[must_use]
pub fn write_call(call: &Call, version: VersionId) -> Option<(&'static str, HeaderValue)> {
    // `i`: idempotent, `n`: not. `l`: past the target latency, `p`: within it.
    let idempotence = if call.idempotent { 'i' } else { 'n' };
    let timeliness = if call.is_past_target() { 'l' } else { 'p' };
    // `q`: may wait for its turn under a rate limit, `d`: is refused then.
    let queueing = if call.patience == Patience::Brief {
        'd'
    } else {
        'q'
    };
    // `u`: made by an upstream, `c`: by a caller.
    let origin = if call.is_nested { 'u' } else { 'c' };
    let target = call.target_at.saturating_duration_since(Instant::now());
    let text = format!(
        "{} {} {idempotence} {timeliness} {} {} {} {version} {:x} {queueing} {} {origin}",
        call.service,
        call.caller,
        call.rank,
        call.remaining().as_millis(),
        target.as_millis(),
        call.fingerprint,
        call.kind.rank,
    );
    Some((CALL_HEADER, HeaderValue::try_from(text).ok()?))
}

/// Decodes a call and the version of its sender.
///
/// `request_id_header` holds the id of the request. Returns `None` if the call header is missing
/// or malformed.
#[must_use]
pub fn read_call<B>(
    request: &Request<B>,
    request_id_header: &hyper::header::HeaderName,
) -> Option<(Call, VersionId)> {
    let headers = request.headers();
    let mut parts = headers.get(CALL_HEADER)?.to_str().ok()?.split(' ');
    let arrived_at = Moment::now();
    let service = parts.next()?.into();
    let caller = parts.next()?.to_owned();
    let idempotent = match parts.next()? {
        "i" => true,
        "n" => false,
        _ => return None,
    };
    let is_past_target = match parts.next()? {
        "l" => true,
        "p" => false,
        _ => return None,
    };
    let rank = parts.next()?.parse().ok()?;
    let deadline = arrived_at.instant() + Duration::from_millis(parts.next()?.parse().ok()?);
    let target_at = arrived_at.instant() + Duration::from_millis(parts.next()?.parse().ok()?);
    let version = parts.next()?.parse().ok()?;
    let fingerprint = Fingerprint::from_str_radix(parts.next()?, 16).ok()?;
    // A node of an earlier release does not send this field and the next ones.
    let may_queue = parts.next() != Some("d");
    let kind_rank = match parts.next() {
        Some(rank) => rank.parse().ok()?,
        None => rank,
    };
    let is_nested = parts.next() == Some("u");
    let patience = match (is_past_target, may_queue) {
        (true, _) => Patience::UntilDeadline,
        (false, true) => Patience::UntilTarget,
        (false, false) => Patience::Brief,
    };
    let call = Call {
        request_id: header_text(headers, request_id_header.as_str()),
        service,
        caller,
        method: request.method().clone(),
        path: request.uri().path_and_query()?.as_str().to_owned(),
        headers: end_to_end(headers),
        idempotent,
        rank,
        kind: Kind {
            rank: kind_rank,
            idempotent,
        },
        arrived_at,
        deadline,
        target_at,
        is_nested,
        patience,
        has_unread_body: headers.contains_key(EXPECT),
        fingerprint,
    };
    Some((call, version))
}

/// Encodes a reply as the response to the node that sent the call.
#[must_use]
pub fn write_reply(reply: Reply, free_slots: u32, version: VersionId) -> Response<Body> {
    let reason = reply.reason.map(|reason| reason.to_string());
    let may_have_reached_upstream = u8::from(reply.may_have_reached_upstream);
    let text = format!(
        "{} {} {may_have_reached_upstream} {free_slots} {version}",
        reply.verdict,
        reason.as_deref().unwrap_or(ABSENT),
    );
    let refused = || status_response(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = reply.response.unwrap_or_else(refused);
    if let Ok(value) = HeaderValue::try_from(text) {
        response.headers_mut().insert(REPLY_HEADER, value);
    }
    if let Some((name, value)) = reply.notice.as_ref().and_then(write_notice) {
        response.headers_mut().insert(name, value);
    }
    response
}

/// Encodes what an upstream has said of itself as a header name and value.
#[must_use]
pub fn write_notice(notice: &Notice) -> Option<(&'static str, HeaderValue)> {
    let rate_limit = notice.rate_limit.map(|rate| rate.to_string());
    let rate_limit = rate_limit.as_deref().unwrap_or(ABSENT);
    let leaving = if notice.is_leaving { LEAVING } else { ABSENT };
    let text = format!("{:x} {rate_limit} {leaving}", notice.process);
    Some((NOTICE_HEADER, HeaderValue::try_from(text).ok()?))
}

/// Decodes what an upstream has said of itself.
///
/// Returns `None` if the header is missing or malformed.
#[must_use]
pub fn read_notice(headers: &HeaderMap) -> Option<Notice> {
    let mut parts = headers.get(NOTICE_HEADER)?.to_str().ok()?.split(' ');
    let process = u64::from_str_radix(parts.next()?, 16).ok()?;
    let rate_limit = match parts.next()? {
        ABSENT => None,
        rate => Some(rate.parse().ok()?),
    };
    Some(Notice {
        process,
        rate_limit,
        is_leaving: parts.next() == Some(LEAVING),
    })
}

/// Decodes the reply of an executing node.
///
/// Returns `None` if the reply header is missing or malformed.
#[must_use]
pub fn read_reply(mut response: Response<Body>) -> Option<Reply> {
    let notice = read_notice(response.headers());
    response.headers_mut().remove(NOTICE_HEADER);
    // Applies to the connection between the nodes only.
    response.headers_mut().remove(CONNECTION);
    let header = response.headers_mut().remove(REPLY_HEADER)?;
    let mut parts = header.to_str().ok()?.split(' ');
    let verdict = Verdict::from_header(parts.next()?)?;
    let reason = Reason::from_header(parts.next()?);
    let may_have_reached_upstream = parts.next()? == "1";
    let free_slots = parts.next()?.parse().ok();
    let version = parts.next()?.parse().ok();
    Some(Reply {
        verdict,
        reason,
        may_have_reached_upstream,
        free_slots,
        version,
        notice,
        response: (verdict == Verdict::Ran).then_some(response),
    })
}

/// Returns the value of a header, or an empty string if it is missing or not text.
#[must_use]
pub fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
