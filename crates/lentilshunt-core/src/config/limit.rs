//! Limits on names, counts and lengths in a configuration.

use std::ops::RangeInclusive;

/// Longest name, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 63;
/// Longest path pattern, in bytes.
pub(super) const MAX_PATH_BYTES: usize = 1024;
/// Longest HTTP method, in bytes.
pub(super) const MAX_METHOD_BYTES: usize = 32;
/// Most regions.
pub(super) const MAX_REGIONS: usize = 256;
/// Most failure domains.
pub(super) const MAX_DOMAINS: usize = 4096;
/// Most services.
pub(super) const MAX_SERVICES: usize = 4096;
/// Most callers of one service.
pub(super) const MAX_CALLERS: usize = 4096;
/// Most patterns of one service.
pub(super) const MAX_PATTERNS: usize = 4096;
/// Longest encoded head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 4096;
/// Longest encoded manifest, in bytes.
pub(super) const MAX_MANIFEST_BYTES: usize = 1024 * 1024;
/// Longest encoded section, in bytes.
pub(super) const MAX_SECTION_BYTES: usize = 8 * 1024 * 1024;
/// Slots that an upstream may have.
pub(super) const SLOTS: RangeInclusive<u32> = 1..=10_000;
/// Connections that an upstream may accept.
pub(super) const CONNECTIONS: RangeInclusive<u32> = 1..=100_000;

/// Returns whether a text is a name: lower-case letters, digits and hyphens.
pub(super) fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

/// Returns whether a text is an HTTP method in upper case, or `*`.
pub(super) fn is_method(text: &str) -> bool {
    let upper = |c: char| c.is_ascii_uppercase();
    text == "*" || (!text.is_empty() && text.len() <= MAX_METHOD_BYTES && text.chars().all(upper))
}

/// Returns whether a text is a path pattern.
///
/// It starts with `/`, `*` stands only for a whole segment, `**` only for the
/// last one, and there is neither white space nor a query nor a fragment.
pub(super) fn is_path(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    let allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    let (start, last) = rest.rsplit_once('/').unwrap_or(("", rest));
    let literal = |segment: &str| segment == "*" || !segment.contains('*');
    text.len() <= MAX_PATH_BYTES
        && text.chars().all(allowed)
        && start.split('/').all(literal)
        && (last == "**" || literal(last))
}
