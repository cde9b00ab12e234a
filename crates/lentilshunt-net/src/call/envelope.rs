//! Encodes calls and replies as HTTP messages between nodes.

use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use hyper::{
    HeaderMap, Request, Response,
    header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, TRANSFER_ENCODING},
};
use lentilshunt_core::{
    id::Incarnation,
    verdict::{Reason, Verdict},
};

use super::{Attempt, Call, Header, Reply};
use crate::history::now_us;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 4] = [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING];

/// Encodes a call as the HTTP request to its executing node, under a path prefix.
///
/// # Errors
///
/// Returns an error when a part of the call is not valid in a header or path.
pub fn write_call(prefix: &str, call: &Call, now: Instant) -> hyper::http::Result<Request<Bytes>> {
    let remaining = call.deadline.saturating_duration_since(now);
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("{prefix}{}", call.path))
        .header(Header::REQUEST, &call.request)
        .header(Header::SERVICE, &call.service)
        .header(Header::CALLER, &call.caller)
        .header(Header::IDEMPOTENT, call.idempotent.to_string())
        .header(Header::DEADLINE, remaining.as_millis().to_string());
    if let Some(key) = &call.key {
        builder = builder.header(Header::KEY, key);
    }
    let mut request = builder.body(call.body.clone())?;
    request.headers_mut().extend(call.headers.clone());
    Ok(request)
}

/// Encodes an attempt as the HTTP request to one incarnation of its executing node.
///
/// # Errors
///
/// Returns an error when a part of the call is not valid in a header or path.
pub fn write_attempt(
    prefix: &str,
    call: &Call,
    incarnation: Incarnation,
    now: Instant,
) -> hyper::http::Result<Request<Bytes>> {
    let remaining = call.deadline.saturating_duration_since(now);
    let remaining_us = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
    let expires_us = now_us().saturating_add(remaining_us);
    let mut request = write_call(prefix, call, now)?;
    let headers = request.headers_mut();
    headers.insert(Header::INCARNATION, incarnation.into());
    headers.insert(Header::EXPIRES, expires_us.into());
    Ok(request)
}

/// Decodes an attempt from the HTTP request to its executing node.
///
/// Returns `None` when a required lentilshunt header is missing or malformed.
#[must_use]
pub fn read_attempt(prefix: &str, request: &Request<Bytes>, now: Instant) -> Option<Attempt> {
    let headers = request.headers();
    let expires_us = header_text(headers, Header::EXPIRES)?.parse().ok()?;
    Some(Attempt {
        incarnation: header_text(headers, Header::INCARNATION)?.parse().ok()?,
        expires_at: SystemTime::UNIX_EPOCH.checked_add(Duration::from_micros(expires_us))?,
        call: read_call(prefix, request, now)?,
    })
}

/// Decodes a call from the HTTP request to its executing node.
///
/// Returns `None` when a required lentilshunt header is missing or malformed.
#[must_use]
pub fn read_call(prefix: &str, request: &Request<Bytes>, now: Instant) -> Option<Call> {
    let headers = request.headers();
    let path = request.uri().path_and_query()?.as_str();
    let remaining_ms: u64 = header_text(headers, Header::DEADLINE)?.parse().ok()?;
    Some(Call {
        request: header_text(headers, Header::REQUEST)?.to_owned(),
        service: header_text(headers, Header::SERVICE)?.to_owned(),
        caller: header_text(headers, Header::CALLER)?.to_owned(),
        method: request.method().clone(),
        path: path.strip_prefix(prefix)?.to_owned(),
        headers: end_to_end(headers),
        body: request.body().clone(),
        idempotent: header_text(headers, Header::IDEMPOTENT)?.parse().ok()?,
        key: header_text(headers, Header::KEY).map(ToOwned::to_owned),
        deadline: now + Duration::from_millis(remaining_ms),
    })
}

/// Returns the milliseconds until a deadline, negative when it has passed.
#[must_use]
pub fn remaining_ms(deadline: Instant, now: Instant) -> i64 {
    let milliseconds = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    if deadline >= now {
        milliseconds(deadline - now)
    } else {
        -milliseconds(now - deadline)
    }
}

/// Returns the deadline that is `remaining_ms` away, in the past when negative.
///
/// Returns `None` when [`Instant`] cannot represent the deadline on this instance.
#[must_use]
pub fn deadline(remaining_ms: i64, now: Instant) -> Option<Instant> {
    let offset = Duration::from_millis(remaining_ms.unsigned_abs());
    if remaining_ms >= 0 {
        now.checked_add(offset)
    } else {
        now.checked_sub(offset)
    }
}

/// Encodes a reply as an HTTP response.
#[must_use]
pub fn write_reply(reply: Reply) -> Response<Bytes> {
    let mut response = Response::new(reply.body);
    *response.status_mut() = reply.status;
    let headers = response.headers_mut();
    *headers = reply.headers;
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set(Header::VERDICT, reply.verdict.to_string());
    if let Some(reason) = reply.reason {
        set(Header::REASON, reason.to_string());
    }
    if let Some(free_slots) = reply.free_slots {
        set(Header::FREE_SLOTS, free_slots.to_string());
    }
    response
}

/// Decodes a reply from an HTTP response of the executing node.
///
/// Returns `None` for a response without a valid verdict header.
#[must_use]
pub fn read_reply(response: Response<Bytes>) -> Option<Reply> {
    let (parts, body) = response.into_parts();
    let headers = &parts.headers;
    Some(Reply {
        verdict: Verdict::from_header(header_text(headers, Header::VERDICT)?)?,
        reason: header_text(headers, Header::REASON).and_then(Reason::from_header),
        status: parts.status,
        free_slots: header_text(headers, Header::FREE_SLOTS)
            .and_then(|free_slots| free_slots.parse().ok()),
        headers: end_to_end(headers),
        body,
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the end-to-end headers of a message.
///
/// Leaves out hop-by-hop headers, lentilshunt headers and the idempotency key.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(name))
        .filter(|(name, _)| !name.as_str().starts_with(Header::PREFIX))
        .filter(|(name, _)| name.as_str() != Header::KEY)
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
