//! End-to-end and hop-by-hop headers.

use hyper::{
    HeaderMap, Request, Response,
    body::Body as _,
    ext::ReasonPhrase,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

use super::body::Body;

/// Headers that are not passed on: hop-by-hop headers, which apply to a single connection,
/// `content-length`, which hyper sets from the body that is sent, and `expect`, which a node
/// answers itself.
const UNFORWARDED_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TRANSFER_ENCODING,
    TE,
    TRAILER,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
];
/// Hop-by-hop headers for which hyper has no constant.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];
/// Prefix of the headers that nodes exchange.
const INTERNAL_PREFIX: &str = "lentilshunt-";

/// Start of a status line of HTTP/1, where 0 stands for any digit.
const STATUS_LINE_START: &[u8; 12] = b"HTTP/1.0 000";

/// Creates a request whose body hyper sends whatever its method is.
///
/// hyper omits a body of unknown length if the method does not require a body,
/// unless `transfer-encoding` is set.
#[must_use]
pub fn request_with_body(body: Body) -> Request<Body> {
    let has_length = body.size_hint().exact().is_some();
    let mut request = Request::new(body);
    if !has_length {
        let chunked = HeaderValue::from_static("chunked");
        request.headers_mut().insert(TRANSFER_ENCODING, chunked);
    }
    request
}

/// Returns whether a header with echoed ids names another request.
#[must_use]
pub fn is_of_another_request(headers: &HeaderMap, echo: &HeaderName, request_id: &[u8]) -> bool {
    let mut echoed = headers.get_all(echo).iter();
    echoed.any(|echoed| echoed.as_bytes() != request_id)
}

/// Returns whether a message has no other transfer encoding than `chunked`.
///
/// hyper takes the end of the connection as the end of a response with any other one.
#[must_use]
pub fn is_chunked_at_most(headers: &HeaderMap) -> bool {
    let encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut is_chunked = encodings.map(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    is_chunked.all(|is_chunked| is_chunked)
}

/// Returns whether the status line or a header of a response contains another status line.
///
/// The rest of an earlier response that was cut in its head and the head of the next one on the
/// connection look like a single head.
#[must_use]
pub fn contains_status_line<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let values = response.headers().values().map(HeaderValue::as_bytes);
    values
        .chain(reason.map(ReasonPhrase::as_bytes))
        .any(|text| {
            text.windows(STATUS_LINE_START.len())
                .any(is_status_line_start)
        })
}

/// Returns whether a text begins as a status line does up to the status.
fn is_status_line_start(text: &[u8]) -> bool {
    text.iter()
        .zip(STATUS_LINE_START)
        .all(|(byte, expected)| match expected {
            b'0' => byte.is_ascii_digit(),
            expected => byte == expected,
        })
}

/// Returns the headers without hop-by-hop headers and headers between nodes.
///
/// Headers listed in the `connection` header are hop-by-hop as well.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !UNFORWARDED_HEADERS.contains(name))
        .filter(|(name, _)| !HOP_BY_HOP_NAMES.contains(&name.as_str()))
        .filter(|(name, _)| !name.as_str().starts_with(INTERNAL_PREFIX))
        .filter(|(name, _)| !listed.iter().any(|listed| listed == name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
