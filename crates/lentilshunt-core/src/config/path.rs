//! Paths of requests in one form.

use std::borrow::Cow;

/// Hexadecimal digits as they are written in a path.
const DIGITS: &[u8; 16] = b"0123456789ABCDEF";

/// Returns a path as upstreams that simplify paths may understand it.
///
/// Empty segments and `.` are left out, `..` leaves out the segment before it,
/// and letters, digits and `-._~` are not percent-encoded. A path that has that
/// form already is not copied.
pub(super) fn normalize(path: &str) -> Cow<'_, str> {
    let simple = !path.contains("//") && !path.contains("/.") && !path.contains('%');
    if simple && (path.len() < 2 || !path.ends_with('/')) {
        return Cow::Borrowed(path);
    }
    let decoded = decode(path);
    let mut segments = Vec::new();
    for segment in decoded.split('/') {
        match segment {
            "" | "." => {}
            ".." => drop(segments.pop()),
            _ => segments.push(segment),
        }
    }
    Cow::Owned(format!("/{}", segments.join("/")))
}

/// Decodes unreserved characters and writes the other codes in upper case.
fn decode(path: &str) -> String {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        let code = (byte == b'%').then(|| code(after)).flatten();
        let Some(code) = code else {
            decoded.push(byte);
            continue;
        };
        rest = &after[2..];
        if code.is_ascii_alphanumeric() || b"-._~".contains(&code) {
            decoded.push(code);
        } else {
            let (high, low) = (usize::from(code >> 4), usize::from(code & 15));
            decoded.extend([b'%', DIGITS[high], DIGITS[low]]);
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the byte that two hexadecimal digits stand for.
fn code(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits.get(..2)?).ok()?;
    let is_hexadecimal = text.bytes().all(|digit| digit.is_ascii_hexdigit());
    is_hexadecimal.then(|| u8::from_str_radix(text, 16).ok())?
}
