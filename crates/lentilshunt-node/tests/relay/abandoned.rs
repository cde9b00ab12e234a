//! Tests of calls whose caller leaves before the upstream has read them.

use std::time::Duration;

use lentilshunt_node::relay::body::empty;
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    time::{sleep, timeout},
};

use crate::fixture::{call, nodes_with_upstream};

// A busy upstream read a request from a connection that it accepted after the caller had left.
#[tokio::test]
async fn call_abandoned_before_accept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nodes = nodes_with_upstream(1, listener.local_addr().unwrap()).await;
    let abandoned = timeout(
        Duration::from_millis(200),
        call(&nodes[0], "/a/", &[], empty()),
    );
    let Err(_elapsed) = abandoned.await else {
        panic!("the upstream should not respond");
    };
    sleep(Duration::from_millis(600)).await;
    let accepted = timeout(Duration::from_millis(200), listener.accept()).await;
    let Ok(Ok((mut connection, _))) = accepted else {
        return;
    };
    let mut request = [0; 1024];
    // A reset connection delivers nothing either.
    let read = connection.read(&mut request).await.unwrap_or_default();
    assert_eq!(read, 0, "{}", String::from_utf8_lossy(&request[..read]));
}
