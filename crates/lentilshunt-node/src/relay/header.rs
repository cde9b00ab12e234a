//! Headers that are passed on, and headers that concern one connection.

use hyper::{
    HeaderMap, Request,
    body::Body as _,
    header::{
        CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

use super::body::Body;

/// Headers that concern one connection.
const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    TE,
    TRAILER,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
];
/// Further headers that concern one connection, without a constant of their own.
const HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];
/// Start of the names of the headers between nodes.
const PREFIX: &str = "lentilshunt-";

/// Returns a request with a body, which also a method without a usual body sends.
///
/// The library leaves out a body without a length where the method does not
/// need one, unless a header says otherwise.
#[must_use]
pub fn request(body: Body) -> Request<Body> {
    let has_length = body.size_hint().exact().is_some();
    let mut request = Request::new(body);
    if !has_length {
        let chunked = HeaderValue::from_static("chunked");
        request.headers_mut().insert(TRANSFER_ENCODING, chunked);
    }
    request
}

/// Returns the headers that are passed on to the other end of a call.
///
/// Headers that the connection header names concern one connection, too.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(name))
        .filter(|(name, _)| !HOP_NAMES.contains(&name.as_str()))
        .filter(|(name, _)| !name.as_str().starts_with(PREFIX))
        .filter(|(name, _)| !named.iter().any(|named| named == name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
