//! Tests of requests that carry keys of organisations.

use std::sync::{Arc, atomic::Ordering};

use hyper::StatusCode;
use lentilshunt_core::{
    organisation::{Directory, Key, Organisation},
    traffic::Rules,
};
use lentilshunt_node::relay::body::empty;
use rstest::rstest;

use crate::fixture::{Node, call, nodes};

fn organisations(keys: &[&str]) -> Directory {
    let mut directory = Directory::new([7; 32]);
    let organisation = Organisation {
        name: "yard".into(),
        rank: None,
        quota: None,
    };
    let keys = keys.iter().map(|key| Key::new(key.as_bytes()).unwrap());
    directory.insert(organisation, &keys.collect::<Vec<_>>());
    directory
}

fn install(node: &Node, organisations: Directory) {
    let rules = Rules::clone(&node.shared.rules.load());
    let rules = rules.with_organisations(organisations);
    node.shared.rules.store(Arc::new(rules));
}

/// Returns the header of the organisation that the upstream got with its last request.
fn received_organisation(node: &Node) -> Option<String> {
    let received = node.upstream.received.lock().unwrap();
    let headers = &received.last().expect("a request").headers;
    assert!(!headers.contains_key("authorization"), "{headers:?}");
    let name = headers.get("organisation")?;
    Some(name.to_str().unwrap().to_owned())
}

#[rstest]
#[case("/a/", Some("Key secret"), StatusCode::OK)]
#[case("/a/", Some("kEy  secret "), StatusCode::OK)]
#[case("/a/", Some("Key other"), StatusCode::UNAUTHORIZED)]
#[case("/a/", Some("Basic secret"), StatusCode::UNAUTHORIZED)]
#[case("/a/", Some("Keysecret"), StatusCode::UNAUTHORIZED)]
#[case("/a/", Some("Key"), StatusCode::UNAUTHORIZED)]
#[case("/a/", Some("secret"), StatusCode::UNAUTHORIZED)]
#[case("/a/", None, StatusCode::UNAUTHORIZED)]
#[case("/public/", None, StatusCode::OK)]
#[case("/public/", Some("Key secret"), StatusCode::OK)]
// A request ran although no organisation held its key.
#[case("/public/", Some("Key other"), StatusCode::UNAUTHORIZED)]
#[case("/public/", Some("kEy  other "), StatusCode::UNAUTHORIZED)]
#[case("/public/", Some("Key"), StatusCode::UNAUTHORIZED)]
#[case("/public/", Some("Basic other"), StatusCode::OK)]
#[case("/public/", Some("Keysecret"), StatusCode::OK)]
#[case("/none", None, StatusCode::UNAUTHORIZED)]
#[tokio::test]
async fn call_with_key(
    #[case] path: &str,
    #[case] authorization: Option<&str>,
    #[case] status: StatusCode,
) {
    let nodes = nodes(1).await;
    install(&nodes[0], organisations(&["secret"]));
    let authorization = authorization.map(|value| ("authorization", value));
    let headers: Vec<_> = authorization.into_iter().collect();
    let response = call(&nodes[0], path, &headers, empty()).await;
    assert_eq!(response.status, status);
}

#[rstest]
#[case("/a/", &[("authorization", "Key secret")], Some("yard"))]
#[case("/public/", &[], None)]
#[tokio::test]
async fn call_with_forged_organisation(
    #[case] path: &str,
    #[case] headers: &[(&'static str, &str)],
    #[case] expected: Option<&str>,
) {
    let nodes = nodes(1).await;
    install(&nodes[0], organisations(&["secret"]));
    let headers = [headers, &[("organisation", "forged")]].concat();
    let response = call(&nodes[0], path, &headers, empty()).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(received_organisation(&nodes[0]).as_deref(), expected);
}

// The headers of callers are passed on unchanged.
#[tokio::test]
async fn call_without_organisations() {
    let nodes = nodes(1).await;
    let headers = [("authorization", "Key secret"), ("organisation", "own")];
    let response = call(&nodes[0], "/a/", &headers, empty()).await;
    assert_eq!(response.status, StatusCode::OK);
    let received = nodes[0].upstream.received.lock().unwrap()[0].clone();
    assert_eq!(received.headers["authorization"], "Key secret");
    assert_eq!(received.headers["organisation"], "own");
}

// The last key was accepted once its organisation had been removed, and so was any other.
#[rstest]
#[case("/a/", StatusCode::UNAUTHORIZED)]
#[case("/once/", StatusCode::UNAUTHORIZED)]
#[case("/public/", StatusCode::OK)]
#[tokio::test]
async fn call_after_last_organisation_is_removed(
    #[case] path: &str,
    #[case] without_key: StatusCode,
) {
    let nodes = nodes(1).await;
    install(&nodes[0], organisations(&["secret"]));
    install(&nodes[0], Directory::new([7; 32]));
    for (headers, expected) in [
        (
            vec![("authorization", "Key secret")],
            StatusCode::UNAUTHORIZED,
        ),
        (
            vec![("authorization", "Key other")],
            StatusCode::UNAUTHORIZED,
        ),
        (vec![], without_key),
        (vec![("organisation", "yard")], without_key),
    ] {
        let response = call(&nodes[0], path, &headers, empty()).await;
        assert_eq!(response.status, expected, "{headers:?}");
    }
    let received = nodes[0].upstream.received.lock().unwrap().len();
    if without_key == StatusCode::OK {
        assert_eq!(received, 2);
        assert_eq!(received_organisation(&nodes[0]), None);
    } else {
        assert_eq!(received, 0);
    }
}

// The upstream was shown the key, and the name of an organisation that the caller had chosen.
#[tokio::test]
async fn call_after_organisations_are_no_longer_listed() {
    let nodes = nodes(1).await;
    nodes[0]
        .shared
        .has_organisations
        .store(true, Ordering::SeqCst);
    let headers = [("authorization", "Key secret"), ("organisation", "yard")];
    let response = call(&nodes[0], "/a/", &headers, empty()).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(received_organisation(&nodes[0]), None);
}

#[tokio::test]
async fn call_after_key_is_removed() {
    let nodes = nodes(1).await;
    install(&nodes[0], organisations(&["secret"]));
    let headers = [("authorization", "Key secret")];
    let response = call(&nodes[0], "/a/", &headers, empty()).await;
    assert_eq!(response.status, StatusCode::OK);
    install(&nodes[0], organisations(&["another"]));
    let response = call(&nodes[0], "/a/", &headers, empty()).await;
    assert_eq!(response.status, StatusCode::UNAUTHORIZED);
}

// A key that is not known may be that of the organisation that cannot be read.
#[tokio::test]
async fn call_with_unreadable_organisation() {
    let nodes = nodes(1).await;
    let mut directory = organisations(&["secret"]);
    directory.omit("a field is missing".to_owned());
    install(&nodes[0], directory);
    for (path, key, status) in [
        ("/a/", "Key secret", StatusCode::OK),
        ("/a/", "Key other", StatusCode::SERVICE_UNAVAILABLE),
        ("/public/", "Key other", StatusCode::SERVICE_UNAVAILABLE),
    ] {
        let response = call(&nodes[0], path, &[("authorization", key)], empty()).await;
        assert_eq!(response.status, status, "{path} {key}");
    }
}
