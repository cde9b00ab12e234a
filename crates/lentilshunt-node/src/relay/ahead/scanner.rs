//! Finds the requests in the bytes of a connection.

use bytes::{Buf, BytesMut};
use hyper::{
    HeaderMap, Request, Version,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE},
};

/// Maximum number of headers of a request, as in hyper.
const MAX_HEADERS: usize = 100;

/// A request in the bytes of a connection.
#[derive(Debug)]
pub enum Scanned {
    /// A request without a body.
    Bodiless(Box<Request<()>>),
    /// A request with a body or with a head that the scanner does not understand.
    Other,
}

/// Finds the requests in the bytes of a connection, which may arrive in any pieces.
///
/// It gives up after a request whose end it cannot tell, or after which the connection closes.
#[derive(Debug)]
pub struct Scanner {
    bytes: BytesMut,
    /// Bytes of the current body that have not arrived.
    body_left: u64,
    max_head_bytes: usize,
    has_given_up: bool,
}

impl Scanner {
    /// Creates a scanner at the start of a connection.
    #[must_use]
    pub fn new(max_head_bytes: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
            body_left: 0,
            max_head_bytes,
            has_given_up: false,
        }
    }

    /// Adds bytes that have arrived.
    pub fn push(&mut self, mut bytes: &[u8]) {
        if self.has_given_up {
            return;
        }
        let skipped = usize::try_from(self.body_left).unwrap_or(usize::MAX);
        let skipped = skipped.min(bytes.len());
        self.body_left -= skipped as u64;
        bytes.advance(skipped);
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next request whose head has arrived.
    pub fn next_request(&mut self) -> Option<Scanned> {
        if self.has_given_up || self.body_left > 0 || self.bytes.is_empty() {
            return None;
        }
        let Some((head_bytes, request)) = parse_head(&self.bytes) else {
            if self.bytes.len() >= self.max_head_bytes {
                self.give_up();
            }
            return None;
        };
        let Some(request) = request else {
            self.give_up();
            return Some(Scanned::Other);
        };
        let Some(body_bytes) = body_bytes(&request) else {
            self.give_up();
            return Some(Scanned::Other);
        };
        self.bytes.advance(head_bytes);
        let skipped = usize::try_from(body_bytes).unwrap_or(usize::MAX);
        let skipped = skipped.min(self.bytes.len());
        self.bytes.advance(skipped);
        self.body_left = body_bytes - skipped as u64;
        Some(if body_bytes == 0 {
            Scanned::Bodiless(Box::new(request))
        } else {
            Scanned::Other
        })
    }

    fn give_up(&mut self) {
        self.has_given_up = true;
        self.bytes = BytesMut::new();
    }
}

/// Parses the head of a request; returns its length and the request, or `None` for a request that
/// is malformed. Returns `None` in all while the head is incomplete.
#[allow(
    clippy::option_option,
    reason = "the outer one is for an incomplete head"
)]
fn parse_head(bytes: &[u8]) -> Option<(usize, Option<Request<()>>)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Partial) => None,
        Ok(httparse::Status::Complete(length)) => Some((length, to_request(&head))),
        Err(_malformed) => Some((0, None)),
    }
}

fn to_request(head: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = head.method?.parse().ok()?;
    *request.uri_mut() = head.path?.parse().ok()?;
    *request.version_mut() = (head.version? == 1).then_some(Version::HTTP_11)?;
    let headers = request.headers_mut();
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(request)
}

/// Returns the length of a request's body, or `None` if the end of the request cannot be told or
/// the connection closes after it.
fn body_bytes(request: &Request<()>) -> Option<u64> {
    let headers: &HeaderMap = request.headers();
    let stays_open = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"keep-alive");
    if !headers.get_all(CONNECTION).iter().all(stays_open) {
        return None;
    }
    if [TRANSFER_ENCODING, UPGRADE]
        .iter()
        .any(|name| headers.contains_key(name))
    {
        return None;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Some(0),
        (Some(length), None) => length.to_str().ok()?.parse().ok(),
        (Some(_), Some(_)) => None,
    }
}
