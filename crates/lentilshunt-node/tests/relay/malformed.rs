//! Tests that malformed input of any kind takes no node down.

use std::{net::SocketAddr, time::Duration};

use hyper::StatusCode;
use lentilshunt_core::quarantine;
use lentilshunt_node::{
    fleet::{FeedResponse, NodeState, Patch, Registration},
    relay::body::empty,
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::fixture::{call, nodes};

/// Number of malformed messages that are sent to each listener.
const MESSAGES: usize = 150;

/// Returns a message that begins as a valid one of another node and is then damaged.
fn malformed_message(random: &mut StdRng) -> Vec<u8> {
    let path = [
        "/x",
        "/.lentilshunt/feed/op/x/-",
        "/.lentilshunt/state/zz",
        "*",
        "/%",
    ];
    let call = [
        "bales bales i p 0 1000 500 7 ff",
        "bales bales i p 999 -1 99999999999999999999999 7 ff",
        "bales  i p",
        "",
    ];
    let mut message = format!(
        "POST {} HTTP/1.1\r\nhost: yard.example\r\nattempt: id\r\nlentilshunt-call: {}\r\n\
         content-length: 5\r\n\r\nhello",
        path[random.random_range(0..path.len())],
        call[random.random_range(0..call.len())],
    )
    .into_bytes();
    for _ in 0..random.random_range(0..6) {
        let at = random.random_range(0..message.len());
        match random.random_range(0..3) {
            0 => message[at] = random.random(),
            1 => drop(message.remove(at)),
            _ => message.insert(at, random.random()),
        }
    }
    message.truncate(random.random_range(1..=message.len()));
    message
}

async fn send_malformed(address: SocketAddr, message: &[u8]) {
    let mut stream = TcpStream::connect(address).await.expect("a listening node");
    // The node may close the connection at any time.
    let _is_closed = stream.write_all(message).await;
    let _is_shut = stream.shutdown().await;
    let mut response = Vec::new();
    let read = timeout(Duration::from_secs(3), stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "no end of the response to {message:?}");
}

#[tokio::test]
async fn call_after_malformed_messages() {
    let nodes = nodes(1).await;
    let mut random = StdRng::seed_from_u64(7);
    for address in [nodes[0].caller_address, nodes[0].peer_address] {
        for _ in 0..MESSAGES {
            send_malformed(address, &malformed_message(&mut random)).await;
        }
    }
    let response = call(&nodes[0], "/a/", &[], empty()).await;
    assert_eq!(response.status, StatusCode::OK);
}

proptest! {
    // No decoder of messages between nodes or of rows panics, whatever the bytes.
    #[test]
    fn decode_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _state = NodeState::decode(&bytes).is_ok();
        let _feed = rmp_serde::from_slice::<FeedResponse>(&bytes).is_ok();
        let _registration = rmp_serde::from_slice::<Registration>(&bytes).is_ok();
        let _suspicions = quarantine::decode(&bytes).len();
    }

    // A delta of another node produces the value of its hash or none, and no endless one.
    #[test]
    fn apply_any_delta(delta in proptest::collection::vec(any::<u8>(), 0..64)) {
        let base = bytes::Bytes::from(vec![7; 4096]);
        let patch = Patch::Delta { base: Patch::hash(&base), result: 1, delta: delta.into() };
        prop_assert_eq!(patch.apply(Some(&base)), None);
    }
}
