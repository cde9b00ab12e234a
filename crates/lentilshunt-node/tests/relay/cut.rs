//! Tests of calls whose upstream stops in the middle of its response.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use hyper::StatusCode;
use lentilshunt_core::membership::Phase;
use lentilshunt_node::relay::{body::empty, header::contains_status_line};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

use crate::{
    cut_upstream::{CutUpstream, End},
    fixture::{CallerResponse, HOST, Node, call, nodes_with_upstream, report},
    raw_upstream::RawUpstream,
};

/// Id of the requests whose response is cut.
const ID: &str = "cut";
/// Length of a response body that is streamed, in bytes.
const STREAMED_BYTES: usize = 200 * 1024;

/// Returns nodes of which only the first has a ready upstream, the given one.
async fn nodes_of(upstream: &CutUpstream) -> Vec<Node> {
    let nodes = nodes_with_upstream(2, upstream.address).await;
    nodes[1]
        .executor
        .apply_report(&report("p1", 2, Phase::Draining), Instant::now());
    nodes
}

async fn call_as(node: &Node, path: &str, id: &str) -> CallerResponse {
    call(node, path, &[("attempt", id)], empty()).await
}

/// Sequence numbers of the reports of all upstreams.
static SEQUENCE: AtomicU64 = AtomicU64::new(2);

/// Asserts that the upstream serves another request, and leaves a connection that is kept.
async fn serve_another(nodes: &[Node], caller: usize) {
    // Without a new report, calls are refused after some seconds.
    let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
    nodes[0]
        .executor
        .apply_report(&report("p1", sequence, Phase::Ready), Instant::now());
    let node = &nodes[caller];
    // The node avoids an endpoint for a moment after several failures in a row.
    for _ in 0..40 {
        let response = call_as(node, "/x", "other").await;
        if response.status == StatusCode::OK {
            assert_eq!(response.headers["attempt"], "other");
            assert_eq!(response.body.unwrap(), RawUpstream::body("other"));
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("no other request is served");
}

/// A complete response in one of several forms, and the length of its head.
fn response(form: &str) -> (String, usize) {
    let body = RawUpstream::body(ID);
    let length = body.len();
    let (half, rest) = body.split_at(length / 2);
    let chunks = format!(
        "{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n",
        half.len(),
        rest.len()
    );
    let id = "attempt: {id}\r\n";
    let (head, body) = match form {
        "length" => (
            format!("HTTP/1.1 200 OK\r\n{id}content-length: {length}\r\nseal: sealed\r\n\r\n"),
            body,
        ),
        "length-last" => (
            format!("HTTP/1.1 200 OK\r\nseal: sealed\r\n{id}content-length: {length}\r\n\r\n"),
            body,
        ),
        "chunked" => (
            format!("HTTP/1.1 200 OK\r\n{id}transfer-encoding: chunked\r\nseal: sealed\r\n\r\n"),
            chunks,
        ),
        "chunked-last" => (
            format!("HTTP/1.1 200 OK\r\nseal: sealed\r\n{id}transfer-encoding: chunked\r\n\r\n"),
            chunks,
        ),
        "until-close" => (
            format!("HTTP/1.1 200 OK\r\n{id}connection: close\r\nseal: sealed\r\n\r\n"),
            body,
        ),
        "line-feeds" => (
            format!("HTTP/1.1 200 OK\nattempt: {{id}}\ncontent-length: {length}\nseal: sealed\n\n"),
            body,
        ),
        "informational" => (
            format!(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n\
                 HTTP/1.1 200 OK\r\n{id}content-length: {length}\r\nseal: sealed\r\n\r\n"
            ),
            body,
        ),
        "old" => (
            format!("HTTP/1.0 200 OK\r\n{id}content-length: {length}\r\nseal: sealed\r\n\r\n"),
            body,
        ),
        "old-until-close" => (format!("HTTP/1.0 200 OK\r\n{id}seal: sealed\r\n\r\n"), body),
        "no-content" => (
            format!("HTTP/1.1 204 No Content\r\n{id}seal: sealed\r\n\r\n"),
            String::new(),
        ),
        other => panic!("unknown form {other}"),
    };
    let (head, body) = (head.replace("{id}", ID), body);
    let head_length = head.len();
    (head + &body, head_length)
}

/// Asserts that a response is not passed on as a success.
fn assert_failure(response: &CallerResponse, case: &str) {
    assert_eq!(
        response.status,
        StatusCode::BAD_GATEWAY,
        "{case}: {response:?}"
    );
    assert!(!response.headers.contains_key("seal"), "{case}");
}

// What a response lacks must not be replaced by an end of the node's making.
#[rstest]
#[tokio::test]
async fn call_with_response_cut_at_any_byte(
    #[values(
        "length",
        "length-last",
        "chunked",
        "chunked-last",
        "until-close",
        "line-feeds",
        "informational",
        "old",
        "old-until-close",
        "no-content"
    )]
    form: &str,
    #[values(End::Close, End::Reset)] end: End,
    #[values(0, 1)] caller: usize,
) {
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let node = &nodes[caller];
    let (response, head_length) = response(form);
    let ends_with_connection = form.ends_with("until-close");
    let body_cuts = (head_length + 1..response.len()).step_by(37);
    // Each cut is tried on a new and a kept connection, on both kinds of routes.
    let cuts = (0..=head_length).chain(body_cuts);
    let cuts = cuts.flat_map(|cut| [cut; 4]);
    for (index, cut) in cuts.enumerate() {
        let is_kept = index % 2 == 0;
        if is_kept {
            serve_another(&nodes, caller).await;
        } else {
            nodes[0].executor.apply_report(
                &report(&format!("p1-{index}"), 1, Phase::Ready),
                Instant::now(),
            );
        }
        let path = if index % 4 < 2 { "/once/cut" } else { "/cut" };
        let case = format!(
            "{path}, {cut} bytes, kept {is_kept}: {:?}",
            &response[..cut]
        );
        upstream.set_script(&response[..cut], end);
        let (cut_before, kept_before) = (
            upstream.cut.load(Ordering::SeqCst),
            upstream.cut_on_kept.load(Ordering::SeqCst),
        );
        let received = call_as(node, &format!("{path}/{index}"), ID).await;
        assert!(upstream.cut.load(Ordering::SeqCst) > cut_before, "{case}");
        let on_kept = upstream.cut_on_kept.load(Ordering::SeqCst) - kept_before;
        assert_eq!(on_kept, usize::from(is_kept), "{case}");
        // The upstream may end such a response in no other way.
        let is_whole = cut >= head_length
            && (form == "no-content" || ends_with_connection && end == End::Close);
        if is_whole {
            assert!(received.status.is_success(), "{case}");
            assert_eq!(received.headers["seal"], "sealed");
            assert_eq!(received.body.unwrap(), response[head_length..cut], "{case}");
        } else {
            assert_failure(&received, &case);
        }
    }
}

// Its beginning has been passed on, so that the caller must see that it breaks off.
#[rstest]
#[tokio::test]
async fn call_with_streamed_response_cut(
    #[values(
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 204800\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.0 200 OK\r\ncontent-length: 204800\r\n"
    )]
    start: &str,
    #[values(End::Close, End::Reset)] end: End,
    #[values(0, 1)] caller: usize,
) {
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let half = "a".repeat(STREAMED_BYTES / 2);
    let body = if start.contains("chunked") {
        format!("{:x}\r\n{half}\r\n", half.len())
    } else {
        half.clone()
    };
    let response = format!("{start}attempt: {ID}\r\nseal: sealed\r\n\r\n{body}");
    upstream.set_script(&response, end);
    let received = call_as(&nodes[caller], "/once/cut", ID).await;
    let has_length = start.contains(':');
    if !has_length && end == End::Close {
        // This is how such a response ends.
        assert_eq!(received.status, StatusCode::OK);
        assert_eq!(received.body.unwrap(), half);
    } else if received.status == StatusCode::OK {
        assert_eq!(received.body.map(|body| body.len()), None);
    } else {
        assert_failure(&received, start);
    }
}

// A head that was cut and ended all the same looks like that of a response without a body, or with
// one that ends with its connection.
#[rstest]
#[tokio::test]
async fn call_with_head_cut_and_ended(
    #[values(
        "length",
        "chunked",
        "until-close",
        "line-feeds",
        "informational",
        "old",
        "old-until-close",
        "no-content"
    )]
    form: &str,
    #[values(End::Close, End::Keep)] end: End,
    #[values(0, 1)] caller: usize,
) {
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let (response, _) = response(form);
    let start = response.find("HTTP/1.1 20").unwrap_or(0);
    let end_of_signature_name = response.find("seal: ").unwrap() + "seal: ".len();
    for cut in start..=end_of_signature_name {
        let head = &response[..cut];
        let is_line_end = head.ends_with('\n');
        let response = format!("{head}{}", if is_line_end { "\r\n" } else { "\r\n\r\n" });
        upstream.set_script(&response, end);
        serve_another(&nodes, 0).await;
        let path = format!("/once/cut/{cut}");
        let cut_before = upstream.cut.load(Ordering::SeqCst);
        let received = call_as(&nodes[caller], &path, ID).await;
        let case = format!("{response:?}");
        assert!(upstream.cut.load(Ordering::SeqCst) > cut_before, "{case}");
        if received.status != StatusCode::GATEWAY_TIMEOUT || end == End::Close {
            assert_failure(&received, &case);
        }
    }
}

// An idempotent request is tried elsewhere.
#[rstest]
#[case("/cut", StatusCode::OK, Some("response to /cut"))]
#[case("/once/cut", StatusCode::BAD_GATEWAY, Some(""))]
#[tokio::test]
async fn call_with_response_without_signature(
    #[case] path: &str,
    #[case] status: StatusCode,
    #[case] body: Option<&str>,
) {
    let upstream = CutUpstream::start().await;
    let nodes = nodes_with_upstream(2, upstream.address).await;
    upstream.set_script("HTTP/1.1 200 OK\r\nattempt: {id}\r\n\r\n", End::Close);
    // Calls that fill the retry budget.
    for _ in 0..4 {
        let received = call_as(&nodes[0], "/x", ID).await;
        assert_eq!(received.status, StatusCode::OK);
    }
    // Some of the calls go to the other upstream at first.
    while upstream.cut.load(Ordering::SeqCst) == 0 {
        nodes[1].upstream.received.lock().unwrap().clear();
        let received = call_as(&nodes[0], path, ID).await;
        if upstream.cut.load(Ordering::SeqCst) > 0 {
            assert_eq!(received.status, status);
            assert_eq!(received.body.as_deref(), body.map(str::as_bytes));
        }
    }
    assert_eq!(upstream.cut.load(Ordering::SeqCst), 1);
    let runs = nodes[1].upstream.received.lock().unwrap().len();
    assert_eq!(runs, usize::from(path == "/cut"));
}

// Such a response needs no signature.
#[rstest]
#[case(404)]
#[case(500)]
#[tokio::test]
async fn call_with_failure_without_signature(#[case] status: u16) {
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let response =
        format!("HTTP/1.1 {status} Failure\r\nattempt: {{id}}\r\ncontent-length: 3\r\n\r\nend");
    upstream.set_script(&response, End::Keep);
    let received = call_as(&nodes[0], "/once/cut", ID).await;
    assert_eq!(received.status.as_u16(), status);
    assert_eq!(received.body.as_deref(), Some(&b"end"[..]));
}

// It lacks what the upstream would have said of itself.
#[tokio::test]
async fn call_with_head_cut_under_rate_limit() {
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let rate_limit = || nodes[0].executor.notice().unwrap().rate_limit;
    let whole = "HTTP/1.1 204 No Content\r\nattempt: {id}\r\nseal: sealed\r\nlimit: 100.0\r\n\r\n";
    upstream.set_script(whole, End::Keep);
    let received = call_as(&nodes[0], "/cut", ID).await;
    assert_eq!(received.status, StatusCode::NO_CONTENT);
    let limit = rate_limit();
    assert!(limit.is_some());
    upstream.set_script("HTTP/1.1 200 OK\r\nattempt: {id}\r\n\r\n", End::Close);
    assert_failure(&call_as(&nodes[0], "/once/cut", ID).await, "cut");
    assert_eq!(rate_limit(), limit);
}

// The signature may come before the cut.
#[rstest]
#[tokio::test]
async fn call_with_framing_cut_and_ended(
    #[values(
        "transfer-enc",
        "transfer-encoding",
        "transfer-encoding:",
        "transfer-encoding: ",
        "transfer-encoding: chunke",
        "transfer-encoding: gzip",
        "transfer-encoding: gzip, chunked",
        "content-len",
        "content-length:",
        "content-length: ",
        "content-length: 6"
    )]
    line: &str,
    #[values("", "5\r\nhello\r\n0\r\n\r\n")] body: &str,
    #[values(200, 500)] status: u16,
    #[values(0, 1)] caller: usize,
) {
    if line == "content-length: 6" && !body.is_empty() {
        // The body has this length.
        return;
    }
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let head = format!("HTTP/1.1 {status} Any\r\nseal: sealed\r\nattempt: {ID}");
    upstream.set_script(&format!("{head}\r\n{line}\r\n\r\n{body}"), End::Close);
    let received = call_as(&nodes[caller], "/once/cut", ID).await;
    assert_eq!(upstream.cut.load(Ordering::SeqCst), 1);
    assert_failure(&received, line);
}

// The rest of a late copy and the response form one head, with the status of the copy: a failure
// became a success, and a request that has run a refused one.
#[rstest]
#[case(
    "HTTP/1.1 200 OK\r\nserver: any\r\nattempt: before\r\nseal: sealed\r\n\
     content-length: 4\r\n\r\nlate",
    500
)]
#[case(
    "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\nserver: any\r\n\
     content-length: 0\r\n\r\n",
    200
)]
#[case(
    "HTTP/1.0 421 Misdirected Request\r\nserver: any\r\ncontent-length: 0\r\n\r\n",
    200
)]
#[tokio::test]
async fn call_with_cut_copy_before_response(
    #[case] copy: &str,
    #[case] status: u16,
    #[values("once", "idempotent")] kind: &str,
    #[values(0, 1)] caller: usize,
) {
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let real = format!(
        "HTTP/1.1 {status} Any\r\nattempt: {ID}\r\nseal: sealed\r\ncontent-length: 4\r\n\r\nreal"
    );
    let head_length = copy.find("\r\n\r\n").unwrap() + "\r\n\r\n".len();
    for cut in 0..head_length {
        serve_another(&nodes, 0).await;
        upstream.set_script(&format!("{}{real}", &copy[..cut]), End::Keep);
        let cut_before = upstream.cut.load(Ordering::SeqCst);
        let received = call_as(&nodes[caller], &format!("/{kind}/cut/{cut}"), ID).await;
        assert!(upstream.cut.load(Ordering::SeqCst) > cut_before);
        let case = format!("{:?}: {received:?}", &copy[..cut]);
        if cut == 0 {
            assert_eq!(received.status.as_u16(), status, "{case}");
            assert_eq!(received.body.as_deref(), Some(&b"real"[..]));
        } else {
            assert_failure(&received, &case);
        }
    }
}

// Only what can be the start of a response is taken for one.
#[rstest]
#[case("HTTP/1.1 500 Internal Server Error", true)]
#[case("xHTTP/1.0 200", true)]
#[case("HTTP/1.1 proxy.example", false)]
#[case("HTTP/1.1 20", false)]
#[case("HTTP/2 200 OK", false)]
fn contains_status_line_in_value(#[case] value: &str, #[case] expected: bool) {
    let response = hyper::Response::builder().header("via", value);
    let response = response.body(()).unwrap();
    assert_eq!(contains_status_line(&response), expected);
}

// What is behind a response that breaks off must not be taken for its rest, and each response goes
// to its own request.
#[rstest]
#[case::head_cut("HTTP/1.1 200 OK\r\nattempt: {id}\r\ncontent-le", End::Close)]
#[case::head_reset("HTTP/1.1 200 OK\r\nattempt: {id}\r\ncontent-le", End::Reset)]
#[case::head_ended("HTTP/1.1 200 OK\r\nattempt: {id}\r\n\r\n", End::Close)]
#[case::length_cut(
    "HTTP/1.1 200 OK\r\nattempt: {id}\r\nseal: sealed\r\ncontent-length: 9\r\n\r\nhalf",
    End::Close
)]
#[case::chunk_cut(
    "HTTP/1.1 200 OK\r\nattempt: {id}\r\nseal: sealed\r\ntransfer-encoding: chunked\r\n\r\n\
     4\r\nhalf\r\n",
    End::Close
)]
#[case::reset_without_length(
    "HTTP/1.1 200 OK\r\nattempt: {id}\r\nseal: sealed\r\n\r\nhalf",
    End::Reset
)]
#[tokio::test]
async fn call_ahead_of_response_cut(
    #[case] response: &str,
    #[case] end: End,
    #[values("/once/cut", "/cut")] path: &str,
    #[values(0, 1, 3)] position: usize,
    #[values(0, 1)] caller: usize,
) {
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    upstream.set_script(response, end);
    // The last one closes the connection, and does not start before its turn.
    let mut paths = ["/x/0", "/x/1", "/x/2", "/x/3", "/x/4"];
    paths[position] = path;
    let received = call_ahead(&nodes[caller], &paths).await;
    let expected = (0..paths.len()).map(|id| {
        let own = format!("200 id-{id} {}\n", RawUpstream::body(&format!("id-{id}")));
        if id == position {
            "502  \n".to_owned()
        } else {
            own
        }
    });
    let expected: String = expected.collect();
    assert_eq!(summary(&received), expected, "{received}");
}

// The connection ends with a streamed response that breaks off.
#[rstest]
#[tokio::test]
async fn call_ahead_of_streamed_response_cut(
    #[values("", "content-length: 204800\r\n", "transfer-encoding: chunked\r\n")] framing: &str,
    #[values("HTTP/1.0", "HTTP/1.1")] version: &str,
    #[values(0, 1)] caller: usize,
) {
    if (version, framing) == ("HTTP/1.0", "transfer-encoding: chunked\r\n") {
        // There are no chunks in HTTP/1.0.
        return;
    }
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let half = "a".repeat(STREAMED_BYTES / 2);
    let start = match framing {
        "transfer-encoding: chunked\r\n" => format!("{STREAMED_BYTES:x}\r\n"),
        _ => String::new(),
    };
    let head = format!("{version} 200 OK\r\nattempt: {{id}}\r\nseal: sealed\r\n{framing}");
    upstream.set_script(&format!("{head}\r\n{start}{half}"), End::Reset);
    let received = call_ahead(&nodes[caller], &["/cut", "/x/1", "/x/2"]).await;
    let first = received.starts_with("HTTP/1.1 200 OK\r\n");
    if first {
        assert!(!received.contains("response to"), "{received}");
        assert!(!received.ends_with("0\r\n\r\n"));
        let (head, body) = received.split_once("\r\n\r\n").unwrap();
        let has_length = head.contains("content-length: 204800");
        assert!(has_length != head.contains("transfer-encoding: chunked"));
        assert!(body.len() < STREAMED_BYTES);
    } else {
        let others = ["id-1", "id-2"].map(|id| format!("200 {id} {}\n", RawUpstream::body(id)));
        assert_eq!(summary(&received), format!("502  \n{}", others.concat()));
    }
}

/// Sends requests without waiting for responses, and returns all that the node sends until the
/// connection ends, or until it sends nothing more.
async fn call_ahead(node: &Node, paths: &[&str]) -> String {
    let mut stream = TcpStream::connect(node.caller_address).await.unwrap();
    let requests = paths.iter().enumerate().map(|(id, path)| {
        let is_last = id + 1 == paths.len();
        let connection = if is_last { "close" } else { "keep-alive" };
        format!(
            "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt: id-{id}\r\ndeadline: 1400\r\n\
             connection: {connection}\r\n\r\n"
        )
    });
    let requests: String = requests.collect();
    stream.write_all(requests.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    // The node may reset the connection.
    let _is_reset = stream.read_to_end(&mut received).await;
    String::from_utf8(received).unwrap()
}

/// Returns the status, echoed id and body of each response, which must all be complete.
fn summary(mut responses: &str) -> String {
    let mut lines = Vec::new();
    while let Some((head, rest)) = responses.split_once("\r\n\r\n") {
        let value = |name| head.lines().find_map(|line| line.strip_prefix(name));
        let status = &head["HTTP/1.1 ".len()..][..3];
        let id = value("attempt: ").unwrap_or_default();
        let (body, rest) = if let Some(length) = value("content-length: ") {
            let (body, rest) = rest.split_at(length.parse().unwrap());
            (body.to_owned(), rest)
        } else {
            let (chunks, rest) = rest.split_once("0\r\n\r\n").expect("an incomplete body");
            let chunks = chunks.split("\r\n").skip(1).step_by(2);
            (chunks.collect(), rest)
        };
        lines.push(format!("{status} {id} {body}\n"));
        responses = rest;
    }
    assert_eq!(responses, "", "behind {lines:?}");
    lines.concat()
}

// What has no body by its status or method has none whatever its head says, and needs all of it.
#[rstest]
#[case("GET", "204 No Content", "")]
#[case("GET", "204 No Content", "content-length: 9\r\n")]
#[case("GET", "304 Not Modified", "content-length: 9\r\n")]
#[case("HEAD", "200 OK", "content-length: 9\r\n")]
#[case("HEAD", "200 OK", "transfer-encoding: chunked\r\n")]
#[case("HEAD", "200 OK", "")]
#[tokio::test]
async fn call_with_response_without_body(
    #[case] method: &str,
    #[case] status: &str,
    #[case] framing: &str,
    #[values("HTTP/1.0", "HTTP/1.1")] version: &str,
    #[values(0, 1)] caller: usize,
) {
    if version == "HTTP/1.0" && framing.contains("chunked") {
        // There are no chunks in HTTP/1.0.
        return;
    }
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let head = format!("{version} {status}\r\nattempt: {{id}}\r\n{framing}seal: sealed\r\n\r\n");
    for end in [End::Close, End::Reset, End::Keep] {
        for cut in 0..=head.len() {
            if end == End::Keep && cut < head.len() {
                // The node waits for the rest.
                continue;
            }
            upstream.set_script(&head[..cut], end);
            serve_another(&nodes, 0).await;
            let received = call_raw(&nodes[caller], method, "/once/cut").await;
            let case = format!("{end:?} {:?}", &head[..cut]);
            let (received_head, body) = received.split_once("\r\n\r\n").expect(&case);
            assert_eq!(body, "", "{case}");
            let expected = if cut == head.len() {
                &status[..3]
            } else {
                "502"
            };
            assert_eq!(&received_head["HTTP/1.1 ".len()..][..3], expected, "{case}");
        }
    }
}

/// Sends a request on its own connection, and returns all that the node sends.
async fn call_raw(node: &Node, method: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(node.caller_address).await.unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt: {ID}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    String::from_utf8(received).unwrap()
}

// No request asks for another protocol; behind such a response, a connection takes no other one.
#[rstest]
#[tokio::test]
async fn call_with_switch_of_protocol(
    #[values("", "upgrade: x\r\nconnection: upgrade\r\n")] headers: &str,
    #[values(0, 1)] caller: usize,
) {
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let head = "HTTP/1.1 101 Switching Protocols\r\nattempt: {id}\r\nseal: sealed\r\n";
    upstream.set_script(&format!("{head}{headers}\r\n"), End::Keep);
    let received = call_ahead(&nodes[caller], &["/once/cut", "/x/1"]).await;
    let other = format!("200 id-1 {}\n", RawUpstream::body("id-1"));
    assert_eq!(summary(&received), format!("502  \n{other}"));
}

// A response that names two requests may be that of the other one.
#[rstest]
#[case("attempt: {id}\r\nattempt: other\r\n", StatusCode::BAD_GATEWAY)]
#[case("attempt: other\r\nattempt: {id}\r\n", StatusCode::BAD_GATEWAY)]
#[case("attempt: {id}\r\nattempt: {id}\r\n", StatusCode::OK)]
#[tokio::test]
async fn call_with_response_of_several_ids(
    #[case] ids: &str,
    #[case] expected: StatusCode,
    #[values("200 OK", "503 Service Unavailable\r\nnot-run: 1")] status: &str,
    #[values(0, 1)] caller: usize,
) {
    let upstream = CutUpstream::start().await;
    let nodes = nodes_of(&upstream).await;
    let head = format!("HTTP/1.1 {status}\r\n{ids}seal: sealed\r\ncontent-length: 4\r\n\r\n");
    upstream.set_script(&format!("{head}body"), End::Keep);
    let received = call_as(&nodes[caller], "/once/cut", ID).await;
    assert_eq!(upstream.cut.load(Ordering::SeqCst), 1);
    let is_refusal = status.contains("not-run");
    let expected = match expected {
        StatusCode::OK if is_refusal => StatusCode::SERVICE_UNAVAILABLE,
        expected => expected,
    };
    assert_eq!(received.status, expected);
}
