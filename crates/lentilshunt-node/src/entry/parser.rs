//! Parses a call from the request of a caller.

use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Limited};
use hyper::{Request, body::Incoming, http::request::Parts};
use lentilshunt_core::verdict::Reason;
use lentilshunt_net::call::{Call, Header, end_to_end};

use crate::context::Context;

/// Parses a call, or returns why the request is refused.
pub(super) async fn parse_call(
    context: &Context,
    request: Request<Incoming>,
) -> Result<Call, Reason> {
    let now = Instant::now();
    let (parts, body) = request.into_parts();
    let service = text(&parts, Header::SERVICE).ok_or(Reason::BadRequest)?;
    let caller = text(&parts, Header::CALLER).ok_or(Reason::BadRequest)?;
    let idempotent = check_route(context, service, caller, &parts)?;
    let limit = usize::try_from(context.settings.calls.body_bytes).unwrap_or(usize::MAX);
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<hyper::Error>() => return Err(Reason::BadRequest),
        Err(_too_long) => return Err(Reason::TooLarge),
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(Call {
        request: format!("{:032x}", rand::random::<u128>()),
        service: service.to_owned(),
        caller: caller.to_owned(),
        path: path.to_owned(),
        idempotent,
        key: text(&parts, Header::KEY).map(ToOwned::to_owned),
        deadline: now + timeout(context, &parts)?,
        headers: end_to_end(&parts.headers),
        method: parts.method,
        body,
    })
}

/// Checks a request against the route table and returns whether it is idempotent.
fn check_route(
    context: &Context,
    service: &str,
    caller: &str,
    parts: &Parts,
) -> Result<bool, Reason> {
    let routes = context.route_table.load();
    if routes.version() == 0 {
        return Err(Reason::NoConfiguration);
    }
    let route = routes.route(service).ok_or(Reason::UnknownService)?;
    if !route.service.callers.contains(caller) {
        return Err(Reason::CallerNotAllowed);
    }
    let path = parts.uri.path();
    Ok(route.service.is_idempotent(parts.method.as_str(), path))
}

/// Returns the timeout of the caller, limited to the configured one, which is also the default.
fn timeout(context: &Context, parts: &Parts) -> Result<Duration, Reason> {
    let max_ms = context.settings.calls.timeout_ms.get();
    let Some(timeout_ms) = text(parts, Header::DEADLINE) else {
        return Ok(Duration::from_millis(max_ms));
    };
    let timeout_ms: u64 = timeout_ms
        .parse()
        .map_err(|_malformed| Reason::BadRequest)?;
    Ok(Duration::from_millis(timeout_ms.min(max_ms)))
}

fn text<'a>(parts: &'a Parts, name: &str) -> Option<&'a str> {
    parts.headers.get(name)?.to_str().ok()
}
