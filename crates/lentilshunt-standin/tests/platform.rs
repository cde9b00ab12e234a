//! Tests of the platform stand-in under faults.

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
const NO_FAULT: Fault = Fault {
    down: false,
    objects_down: false,
    delay_ms: 0,
    lose_replies: 0,
    lose_requests: 0,
};

async fn start() -> SocketAddr {
    let capacity: Capacity = serde_json::from_str("{}").expect("all settings should have defaults");
    let platform = Arc::new(Platform::new(&capacity, Instant::now()));
    let any_port = "127.88.4.1:0".parse().expect("should be an address");
    let server = Server::bind(any_port, platform)
        .await
        .expect("should bind a port");
    let address = server.address().expect("should be an address");
    tokio::spawn(server.run(Shutdown::default()));
    address
}

async fn set_fault(address: SocketAddr, fault: Fault) {
    let body = rmp_serde::to_vec_named(&fault).expect("fault should be serializable");
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = "/admin/fault".parse().expect("should be a path");
    let exchange = Exchange {
        address,
        deadline: Instant::now() + Duration::from_secs(5),
        max_body_bytes: 1024,
    };
    let response = Pool::default().exchange(exchange, request).await;
    assert!(response.expect("should respond").status().is_success());
}

/// Returns a transaction that creates a row only if it does not exist.
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
    row.expect("platform should respond").is_some()
}

#[tokio::test]
async fn transact_existing_row() {
    let client = Client::new(start().await, TIMEOUT);
    let outcomes = [
        client
            .transact(create("a"))
            .await
            .expect("should return an outcome"),
        client
            .transact(create("a"))
            .await
            .expect("should return an outcome"),
    ];
    assert_eq!(outcomes.map(|outcome| outcome.committed), [true, false]);
}

#[tokio::test]
async fn transact_lost_reply_and_request() {
    let address = start().await;
    let client = Client::new(address, TIMEOUT);
    let lose_replies = 1;
    set_fault(
        address,
        Fault {
            lose_replies,
            ..NO_FAULT
        },
    )
    .await;
    assert_eq!(client.transact(create("reply")).await.ok(), None);
    assert!(exists(&client, "reply").await);
    let lose_requests = 1;
    set_fault(
        address,
        Fault {
            lose_requests,
            ..NO_FAULT
        },
    )
    .await;
    assert_eq!(client.transact(create("request")).await.ok(), None);
    assert!(!exists(&client, "request").await);
    let retry = client.transact(create("request")).await;
    assert!(retry.expect("should return an outcome").committed);
}

#[tokio::test]
async fn transact_after_client_timeout() {
    let address = start().await;
    let client = Client::new(address, TIMEOUT);
    let delay_ms = 600;
    set_fault(
        address,
        Fault {
            delay_ms,
            ..NO_FAULT
        },
    )
    .await;
    assert_eq!(client.transact(create("late")).await.ok(), None);
    set_fault(address, NO_FAULT).await;
    while !exists(&client, "late").await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn serve_outage() {
    let address = start().await;
    let client = Client::new(address, TIMEOUT);
    let objects_down = true;
    set_fault(
        address,
        Fault {
            objects_down,
            ..NO_FAULT
        },
    )
    .await;
    assert_eq!(client.put("a".to_owned(), Vec::new()).await.ok(), None);
    let outcome = client.transact(create("a")).await;
    assert!(outcome.expect("should return an outcome").committed);
    let down = true;
    set_fault(address, Fault { down, ..NO_FAULT }).await;
    assert_eq!(client.transact(create("b")).await.ok(), None);
    set_fault(address, NO_FAULT).await;
    assert!(!exists(&client, "b").await);
}
