//! Normalization of request paths.

use std::borrow::Cow;

/// Hexadecimal digits of percent-encoded characters in a normalized path.
const HEX_DIGITS: &[u8; 16] = b"0123456789ABCDEF";

/// Returns a path in the form to which an upstream may normalize it.
///
/// Empty segments and `.` are removed, `..` removes the preceding segment, and
/// letters, digits and `-._~` are not percent-encoded. A path without `//`,
/// `/.`, `%` and trailing slash is not copied.
pub(super) fn normalize(path: &str) -> Cow<'_, str> {
    let has_plain_segments = !path.contains("//") && !path.contains("/.") && !path.contains('%');
    if has_plain_segments && (path.len() < 2 || !path.ends_with('/')) {
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

/// Decodes percent-encoded unreserved characters and writes the other codes in uppercase.
fn decode(path: &str) -> String {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        let code = (byte == b'%').then(|| parse_code(after)).flatten();
        let Some(code) = code else {
            decoded.push(byte);
            continue;
        };
        rest = &after[2..];
        if code.is_ascii_alphanumeric() || b"-._~".contains(&code) {
            decoded.push(code);
        } else {
            let (high, low) = (usize::from(code >> 4), usize::from(code & 15));
            decoded.extend([b'%', HEX_DIGITS[high], HEX_DIGITS[low]]);
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Parses the two hexadecimal digits of a percent-encoded byte.
fn parse_code(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits.get(..2)?).ok()?;
    let is_hexadecimal = text.bytes().all(|digit| digit.is_ascii_hexdigit());
    is_hexadecimal.then(|| u8::from_str_radix(text, 16).ok())?
}
