//! What the platform stand-in does to requests under faults.

use std::{net::SocketAddr, sync::Arc, time::Duration, time::Instant};

use bytes::Bytes;
use hyper::{Method, Request};
use lentilshunt_net::{
    http::{Exchange, Pool, Server, Shutdown},
    platform::{Client, Store, Table},
};
use lentilshunt_schema::{
    platform::{Condition, Expectation, Fault, Transaction, Write},
    settings::Capacity,
};
use lentilshunt_standin::platform::Platform;

const TIMEOUT: Duration = Duration::from_millis(300);
const SOUND: Fault = Fault {
    down: false,
    objects_down: false,
    delay_ms: 0,
    lose_replies: 0,
    lose_requests: 0,
};

async fn start() -> SocketAddr {
    let capacity: Capacity = serde_json::from_str("{}").expect("all settings have defaults");
    let platform = Arc::new(Platform::new(&capacity, Instant::now()));
    let any = "127.88.4.1:0".parse().expect("an address");
    let server = Server::bind(any, platform).await.expect("a port");
    let address = server.address().expect("an address");
    tokio::spawn(server.run(Shutdown::default()));
    address
}

async fn set(address: SocketAddr, fault: Fault) {
    let body = rmp_serde::to_vec_named(&fault).expect("an encoding");
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = "/admin/fault".parse().expect("a path");
    let exchange = Exchange {
        address,
        deadline: Instant::now() + Duration::from_secs(5),
        max_body_bytes: 1024,
    };
    let answer = Pool::default().exchange(exchange, request).await;
    assert!(answer.expect("an answer").status().is_success());
}

/// A transaction that creates a row which must not exist yet.
fn create(key: &str) -> Transaction {
    Transaction {
        conditions: vec![Condition {
            key: key.to_owned(),
            expectation: Expectation::Absent,
        }],
        writes: vec![Write {
            key: key.to_owned(),
            value: Some(b"value".to_vec()),
        }],
    }
}

async fn exists(client: &Client, key: &str) -> bool {
    let row = client.read(key.to_owned()).await;
    row.expect("the platform answers").is_some()
}

#[tokio::test]
async fn transact_twice() {
    let client = Client::new(start().await, TIMEOUT);
    let outcomes = [
        client.transact(create("a")).await.expect("an outcome"),
        client.transact(create("a")).await.expect("an outcome"),
    ];
    assert_eq!(outcomes.map(|outcome| outcome.committed), [true, false]);
}

#[tokio::test]
async fn transact_lost() {
    let address = start().await;
    let client = Client::new(address, TIMEOUT);
    let lose_replies = 1;
    set(
        address,
        Fault {
            lose_replies,
            ..SOUND
        },
    )
    .await;
    assert_eq!(client.transact(create("reply")).await.ok(), None);
    assert!(exists(&client, "reply").await);
    let lose_requests = 1;
    set(
        address,
        Fault {
            lose_requests,
            ..SOUND
        },
    )
    .await;
    assert_eq!(client.transact(create("request")).await.ok(), None);
    assert!(!exists(&client, "request").await);
    let after = client.transact(create("request")).await;
    assert!(after.expect("an outcome").committed);
}

#[tokio::test]
async fn transact_late() {
    let address = start().await;
    let client = Client::new(address, TIMEOUT);
    let delay_ms = 600;
    set(address, Fault { delay_ms, ..SOUND }).await;
    assert_eq!(client.transact(create("late")).await.ok(), None);
    set(address, SOUND).await;
    while !exists(&client, "late").await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn serve_down() {
    let address = start().await;
    let client = Client::new(address, TIMEOUT);
    let objects_down = true;
    set(
        address,
        Fault {
            objects_down,
            ..SOUND
        },
    )
    .await;
    assert_eq!(client.put("a".to_owned(), Vec::new()).await.ok(), None);
    let outcome = client.transact(create("a")).await;
    assert!(outcome.expect("an outcome").committed);
    let down = true;
    set(address, Fault { down, ..SOUND }).await;
    assert_eq!(client.transact(create("b")).await.ok(), None);
    set(address, SOUND).await;
    assert!(!exists(&client, "b").await);
}
