//! Patterns that match requests by method and path.

use serde::{Deserialize, Serialize};

use super::path::normalize;

/// Pattern that matches requests by method and path.
///
/// A path is matched segment by segment; `*` matches one segment, and a trailing
/// `**` matches all remaining segments, including none.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Pattern {
    /// Uppercase HTTP method, or `*` for any method.
    pub method: String,
    /// Path pattern, starting with `/`.
    pub path: String,
}

impl Pattern {
    /// Returns whether this pattern matches a request.
    ///
    /// Paths are normalized first: they may differ in repeated and trailing
    /// slashes, `.` and `..`, and percent-encoded letters and digits. An upstream
    /// may treat such paths as equal, so a repeat must not bypass the rule
    /// for non-idempotent requests by a different spelling of the path.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let is_any_method = self.method == "*";
        (is_any_method || self.method == method)
            && path_matches(&normalize(&self.path), &normalize(path))
    }

    /// Returns whether both patterns match some common request.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        let is_any_method = self.method == "*" || other.method == "*";
        let (own, others) = (normalize(&self.path), normalize(&other.path));
        (is_any_method || self.method == other.method) && paths_overlap(&own, &others)
    }
}

fn paths_overlap(left: &str, right: &str) -> bool {
    let (mut left, mut right) = (left.split('/'), right.split('/'));
    loop {
        match (left.next(), right.next()) {
            (Some("**"), _) | (_, Some("**")) | (None, None) => return true,
            (Some(left), Some(right)) if left == "*" || right == "*" || left == right => {}
            _ => return false,
        }
    }
}

fn path_matches(pattern: &str, path: &str) -> bool {
    let mut segments = path.split('/');
    for expected in pattern.split('/') {
        if expected == "**" {
            return true;
        }
        match segments.next() {
            Some(segment) if expected == "*" || expected == segment => {}
            _ => return false,
        }
    }
    segments.next().is_none()
}
