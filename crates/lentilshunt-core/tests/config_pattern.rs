//! Tests for the matching of requests by patterns.

use lentilshunt_core::config::Pattern;

#[test]
fn pattern_matches() {
    let cases = [
        ("POST /a", "POST /a", true),
        ("POST /a", "GET /a", false),
        ("* /a", "GET /a", true),
        ("POST /a", "POST /a/b", false),
        ("POST /a/*", "POST /a/b", true),
        ("POST /a/*", "POST /a", false),
        ("POST /a/**", "POST /a", true),
        ("POST /a/**", "POST /a/b/c", true),
        ("POST /a/**", "POST /ab", false),
        ("POST /**", "POST /", true),
        // Paths that normalize to the same or to a different path.
        ("POST /a/b", "POST /a/b/", true),
        ("POST /a/b/", "POST /a/b", true),
        ("POST /a/b", "POST //a//b", true),
        ("POST /a/b", "POST /a/./b", true),
        ("POST /a/b", "POST /x/../a/b", true),
        ("POST /a/b", "POST /../a/b", true),
        ("POST /a/b", "POST /%61/%62", true),
        ("POST /a/b", "POST /x/%2e%2E/a/b", true),
        ("POST /a%C3%B1o", "POST /a%c3%b1o", true),
        ("POST /a/b", "POST /a%2Fb", false),
        ("POST /a", "POST /a%", false),
        ("POST /a", "POST /a%+1", false),
    ];
    for (pattern, request, expected) in cases {
        let (method, path) = pattern.split_once(' ').expect("two parts");
        let pattern = Pattern {
            method: method.to_owned(),
            path: path.to_owned(),
        };
        let (method, path) = request.split_once(' ').expect("two parts");
        assert_eq!(
            pattern.matches(method, path),
            expected,
            "{pattern:?} {request}"
        );
    }
}
