//! Calls and replies as HTTP messages between nodes.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{
    HeaderMap, Request, Response,
    header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, TRANSFER_ENCODING},
};
use lentilshunt_core::verdict::{Reason, Verdict};

use super::{Call, Name, Reply};

/// Headers that concern one connection and are not passed on.
const HOP_HEADERS: [HeaderName; 4] = [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING];

/// Writes a call as the request to its executing node, under a path prefix.
///
/// # Errors
///
/// Returns an error when a part of the call is not valid in a header or path.
pub fn write_call(prefix: &str, call: &Call, now: Instant) -> hyper::http::Result<Request<Bytes>> {
    let remaining = call.deadline.saturating_duration_since(now);
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("{prefix}{}", call.path))
        .header(Name::REQUEST, &call.request)
        .header(Name::SERVICE, &call.service)
        .header(Name::CALLER, &call.caller)
        .header(Name::IDEMPOTENT, call.idempotent.to_string())
        .header(Name::DEADLINE, remaining.as_millis().to_string());
    if let Some(key) = &call.key {
        builder = builder.header(Name::KEY, key);
    }
    let mut request = builder.body(call.body.clone())?;
    request.headers_mut().extend(call.headers.clone());
    Ok(request)
}

/// Reads a call from the request to its executing node.
///
/// Returns none when a header of lentilshunt is missing or malformed.
#[must_use]
pub fn read_call(prefix: &str, request: &Request<Bytes>, now: Instant) -> Option<Call> {
    let headers = request.headers();
    let path = request.uri().path_and_query()?.as_str();
    let remaining: u64 = text(headers, Name::DEADLINE)?.parse().ok()?;
    Some(Call {
        request: text(headers, Name::REQUEST)?.to_owned(),
        service: text(headers, Name::SERVICE)?.to_owned(),
        caller: text(headers, Name::CALLER)?.to_owned(),
        method: request.method().clone(),
        path: path.strip_prefix(prefix)?.to_owned(),
        headers: end_to_end(headers),
        body: request.body().clone(),
        idempotent: text(headers, Name::IDEMPOTENT)?.parse().ok()?,
        key: text(headers, Name::KEY).map(ToOwned::to_owned),
        deadline: now + Duration::from_millis(remaining),
    })
}

/// Writes a reply as an HTTP response.
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
    set(Name::VERDICT, reply.verdict.to_string());
    if let Some(reason) = reply.reason {
        set(Name::REASON, reason.to_string());
    }
    if let Some(room) = reply.room {
        set(Name::ROOM, room.to_string());
    }
    response
}

/// Reads a reply from an HTTP response of the executing node.
///
/// A response without a verdict is not a reply; none is returned for it.
#[must_use]
pub fn read_reply(response: Response<Bytes>) -> Option<Reply> {
    let (parts, body) = response.into_parts();
    let headers = &parts.headers;
    Some(Reply {
        verdict: Verdict::from_header(text(headers, Name::VERDICT)?)?,
        reason: text(headers, Name::REASON).and_then(Reason::from_header),
        status: parts.status,
        room: text(headers, Name::ROOM).and_then(|room| room.parse().ok()),
        headers: end_to_end(headers),
        body,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the headers that are passed on to the other end of a call.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(name))
        .filter(|(name, _)| !name.as_str().starts_with(Name::PREFIX))
        .filter(|(name, _)| name.as_str() != Name::KEY)
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
