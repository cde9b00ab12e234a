//! Limits on the names, counts and lengths in a configuration.

use std::ops::RangeInclusive;

/// Maximum length of a name, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a path pattern, in bytes.
pub(super) const MAX_PATH_BYTES: usize = 1024;
/// Maximum length of an HTTP method, in bytes.
pub(super) const MAX_METHOD_BYTES: usize = 32;
/// Maximum number of regions.
pub(super) const MAX_REGIONS: usize = 256;
/// Maximum number of failure domains.
pub(super) const MAX_DOMAINS: usize = 4096;
/// Maximum number of services.
pub(super) const MAX_SERVICES: usize = 4096;
/// Maximum number of callers of one service.
pub(super) const MAX_CALLERS: usize = 4096;
/// Maximum number of request rules and of non-idempotent patterns of one service.
pub(super) const MAX_PATTERNS: usize = 4096;
/// Maximum length of an encoded [`Head`](super::Head) row, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 4096;
/// Maximum length of an encoded manifest, in bytes.
pub(super) const MAX_MANIFEST_BYTES: usize = 1024 * 1024;
/// Maximum length of an encoded section, in bytes.
pub(super) const MAX_SECTION_BYTES: usize = 8 * 1024 * 1024;
/// Allowed number of slots of an upstream.
pub(super) const SLOTS_RANGE: RangeInclusive<u32> = 1..=10_000;
/// Allowed number of connections of an upstream.
pub(super) const CONNECTIONS_RANGE: RangeInclusive<u32> = 1..=100_000;

/// Returns whether a text is a name, which consists of lowercase letters, digits and hyphens.
pub(super) fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

/// Returns whether a text is an uppercase HTTP method or `*`.
pub(super) fn is_method(text: &str) -> bool {
    let is_upper = |c: char| c.is_ascii_uppercase();
    text == "*"
        || (!text.is_empty() && text.len() <= MAX_METHOD_BYTES && text.chars().all(is_upper))
}

/// Returns whether a text is a path pattern.
///
/// A path pattern starts with `/` and has no whitespace, query or fragment. `*` must
/// be a whole segment, and `**` must be the last one.
pub(super) fn is_path(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    let is_allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    let (start, last) = rest.rsplit_once('/').unwrap_or(("", rest));
    let is_valid_segment = |segment: &str| segment == "*" || !segment.contains('*');
    text.len() <= MAX_PATH_BYTES
        && text.chars().all(is_allowed)
        && start.split('/').all(is_valid_segment)
        && (last == "**" || is_valid_segment(last))
}
