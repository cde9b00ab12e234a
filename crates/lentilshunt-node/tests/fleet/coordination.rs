//! Tests of the choice of the node that decides for the fleet.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_node::{
    coordination::{Client, Coordinator},
    relay::{Directory, Pool},
};

use crate::shared;

// The first node in the order does not reply: the next one is asked for some seconds.
#[tokio::test]
async fn coordinator_after_lost_reply() {
    let shared = shared();
    let pool = Arc::new(Pool::new(Duration::from_millis(50), Duration::from_secs(1)));
    let mut client = Client::new(Arc::clone(&shared), pool);
    let now = Instant::now();
    assert_eq!(client.coordinator(now), None);
    // Nothing listens on the discard port.
    let lost = "127.0.0.1:9".parse().unwrap();
    let local = "127.0.0.1:10".parse().unwrap();
    let coordinators = vec![("n1".to_owned(), lost), ("n0".to_owned(), local)];
    let directory = Directory::default().with_coordinators(coordinators);
    shared.directory.store(Arc::new(directory));
    assert_eq!(client.coordinator(now), Some(Coordinator::Remote(lost)));
    assert_eq!(client.send(lost, "/report", &"report", 100).await, None);
    let now = Instant::now();
    assert_eq!(client.coordinator(now), Some(Coordinator::Local));
    let later = now + Duration::from_secs(4);
    assert_eq!(client.coordinator(later), Some(Coordinator::Remote(lost)));
}
