//! Tests of calls whose caller leaves before the upstream has read them.

use std::time::Duration;

use lentilshunt_node::relay::body::empty;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::fixture::{HOST, call, nodes, nodes_with_upstream};

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

// The request was lost on its way and arrived again together with the end of the connection.
#[rstest]
#[case::caller(false)]
#[case::node(true)]
#[tokio::test]
async fn call_abandoned_before_arrival(#[case] is_node: bool) {
    let nodes = nodes(1).await;
    let node = &nodes[0];
    let address = if is_node {
        node.peer_address
    } else {
        node.caller_address
    };
    // The connection to the upstream that this leaves idle takes the next request at once.
    call(node, "/a/", &[], empty()).await;
    for id in 0..20 {
        let request = format!(
            "GET /a/ HTTP/1.1\r\nhost: {HOST}\r\nattempt: id-{id}\r\n\
            lentilshunt-call: bales bales i p 0 1000 500 7 1 q 0 c\r\n\r\n"
        );
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        drop(stream);
    }
    sleep(Duration::from_millis(300)).await;
    let received = node.upstream.received.lock().unwrap().len();
    assert_eq!(received, 1);
}
