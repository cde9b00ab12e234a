//! An upstream that writes bytes to its connections without regard for the protocol.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Mutex,
    time::sleep,
};

/// An upstream whose behavior depends on the first path segment.
///
/// - `twice`: sends its response twice; the second segment gives the delay of the second in
///   milliseconds, the third `whole`, `cut` (inside the head), or `chunked`.
/// - `healthz`: responds to a health check; the second segment is `ready`, `leaving` or `refused`.
/// - `refuse`: sends a refusal twice, see [`Refusal`].
/// - `status`: responds with the status in the second segment; the third is `signed`, `unsigned` or
///   `refused`.
/// - `endless`: never ends its response; the second segment gives the part that has no end.
/// - others: responds with [`RawUpstream::body`].
#[derive(Debug)]
pub struct RawUpstream {
    pub address: SocketAddr,
    /// Bytes of responses without end that the node has accepted.
    pub endless_bytes: Arc<AtomicUsize>,
    /// Connections with a response without end that the node has closed.
    pub closed: Arc<AtomicUsize>,
    /// Its connections, and what it has done with requests that it refuses or that have no
    /// particular path.
    pub runs: Arc<Runs>,
}

/// What an upstream has done with connections and requests.
#[derive(Debug, Default)]
pub struct Runs {
    /// Ids of the requests.
    pub ids: Mutex<Vec<String>>,
    /// Number of accepted connections.
    pub connections: AtomicUsize,
    /// Ids of the requests that it has refused.
    pub refused: Mutex<Vec<String>>,
    /// Number of requests that followed a refusal, which was sent again in front of their response.
    pub after_refusals: AtomicUsize,
}

/// A refusal that is sent twice, as the segments after `refuse` name it.
#[derive(Clone, Copy, Debug)]
struct Refusal<'a> {
    status: &'a str,
    /// `own` if it echoes the id of the request, `none` if it has no id.
    echo: &'a str,
    /// Body; `empty` for none.
    body: &'a str,
    /// When it is sent again: `behind` itself, `idle` after 20 ms, or once the `next` request on
    /// the connection has arrived.
    when: &'a str,
}

impl Refusal<'_> {
    fn response(self, id: &str) -> String {
        let body = match self.body {
            "empty" => "",
            body => body,
        };
        let echo = match self.echo {
            "own" => format!("attempt: {id}\r\n"),
            _ => String::new(),
        };
        let length = body.len();
        format!(
            "HTTP/1.1 {} Refused\r\n{echo}not-run: 1\r\ncontent-length: {length}\r\n\r\n{body}",
            self.status,
        )
    }
}

impl RawUpstream {
    /// Starts the upstream.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            endless_bytes: Arc::default(),
            closed: Arc::default(),
            runs: Arc::default(),
        };
        let (endless_bytes, closed, runs) = (
            Arc::clone(&upstream.endless_bytes),
            Arc::clone(&upstream.closed),
            Arc::clone(&upstream.runs),
        );
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                runs.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(
                    stream,
                    Arc::clone(&endless_bytes),
                    Arc::clone(&closed),
                    Arc::clone(&runs),
                ));
            }
        });
        upstream
    }

    /// Returns the body of the response to a request.
    pub fn body(request_id: &str) -> String {
        format!("response to {request_id};").repeat(20)
    }
}

async fn serve(
    stream: TcpStream,
    endless_bytes: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
    runs: Arc<Runs>,
) {
    let (mut reader, writer) = stream.into_split();
    let writer = Arc::new(Mutex::new(writer));
    // The refusal that is sent again in front of the next response.
    let mut refusal: Option<String> = None;
    while let Some(RequestHead {
        path,
        id,
        is_chunked,
    }) = read_request(&mut reader).await
    {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let segments = segments.strip_prefix(&["once"]).unwrap_or(&segments);
        match segments[..] {
            ["twice", delay_ms, form, ..] => {
                let response = match form {
                    "chunked" => chunked_response(&id),
                    _ => response(&id),
                };
                let second = match form {
                    "cut" => response[..30].to_owned(),
                    _ => response.clone(),
                };
                let delay = Duration::from_millis(delay_ms.parse().unwrap());
                if delay.is_zero() {
                    write(&writer, &(response + &second)).await;
                } else {
                    write(&writer, &response).await;
                    let writer = Arc::clone(&writer);
                    tokio::spawn(async move {
                        sleep(delay).await;
                        write(&writer, &second).await;
                    });
                }
            }
            ["healthz", "refused", ..] => {
                let refused = Refusal {
                    status: "503",
                    echo: "none",
                    body: "empty",
                    when: "next",
                };
                let response = refused.response(&id);
                write(&writer, &response).await;
                refusal = Some(response);
            }
            ["refuse", status, echo, body, when, ..] => {
                let refused = Refusal {
                    status,
                    echo,
                    body,
                    when,
                };
                runs.refused.lock().await.push(id.clone());
                let response = refused.response(&id);
                match refused.when {
                    "behind" => write(&writer, &response.repeat(2)).await,
                    "idle" => {
                        write(&writer, &response).await;
                        sleep(Duration::from_millis(20)).await;
                        write(&writer, &response).await;
                    }
                    _ => {
                        write(&writer, &response).await;
                        refusal = Some(response);
                    }
                }
            }
            ["healthz", state, ..] => write(&writer, &health_response(state)).await,
            ["status", status, form, ..] => {
                write(&writer, &status_response(status, form, &id)).await;
            }
            ["endless", part, ..] => {
                write_endless(&writer, part, &id, &endless_bytes).await;
                wait_for_close(&mut reader).await;
                closed.fetch_add(1, Ordering::SeqCst);
                return;
            }
            _ => {
                runs.ids.lock().await.push(id.clone());
                if let Some(refusal) = refusal.take() {
                    runs.after_refusals.fetch_add(1, Ordering::SeqCst);
                    write(&writer, &refusal).await;
                    // The request runs for a moment.
                    sleep(Duration::from_millis(50)).await;
                }
                write(&writer, &response(&id)).await;
            }
        }
        if is_chunked && skip_chunks(&mut reader).await.is_none() {
            return;
        }
    }
}

/// What an upstream uses of the head of a request.
pub struct RequestHead {
    pub path: String,
    pub id: String,
    pub is_chunked: bool,
}

/// Reads the head of a request, but not its body.
pub async fn read_request<R: AsyncRead + Unpin>(reader: &mut R) -> Option<RequestHead> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(reader.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let path = head.split(' ').nth(1)?.to_owned();
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("attempt: "));
    Some(RequestHead {
        path,
        id: id.unwrap_or_default().to_owned(),
        is_chunked: head.contains("transfer-encoding: chunked"),
    })
}

/// Reads a chunked body to its end.
async fn skip_chunks(reader: &mut OwnedReadHalf) -> Option<()> {
    let mut end = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    while !end.ends_with(b"\r\n0\r\n\r\n") {
        let read = reader.read(&mut buffer).await.ok()?;
        if read == 0 {
            return None;
        }
        end.extend_from_slice(&buffer[..read]);
        end.drain(..end.len().saturating_sub(16));
    }
    Some(())
}

async fn write(writer: &Mutex<OwnedWriteHalf>, text: &str) {
    // The node may have closed the connection.
    let _is_closed = writer.lock().await.write_all(text.as_bytes()).await;
}

fn head(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nattempt: {id}\r\nseal: sealed\r\n")
}

fn response(id: &str) -> String {
    let body = RawUpstream::body(id);
    format!("{}content-length: {}\r\n\r\n{body}", head(id), body.len())
}

fn health_response(state: &str) -> String {
    let status = match state {
        "ready" => "200 OK",
        _ => "503 Service Unavailable",
    };
    format!("HTTP/1.1 {status}\r\nprocess: p7\r\nload: 1,0,9\r\ncontent-length: 0\r\n\r\n")
}

/// Returns a response with any status, with the mark of a form.
fn status_response(status: &str, form: &str, id: &str) -> String {
    let mark = match form {
        "refused" => "not-run: 1\r\n",
        "signed" => "seal: sealed\r\n",
        _ => "",
    };
    let body = RawUpstream::body(id);
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nattempt: {id}\r\n{mark}content-length: {length}\r\n\r\n{body}")
}

fn chunked_response(id: &str) -> String {
    let body = RawUpstream::body(id);
    let head = head(id);
    let length = body.len();
    format!("{head}transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
}

/// Writes a response without end until the node closes the connection.
///
/// The parts ending in `-slowly` are written with a pause between two pieces.
async fn write_endless(
    writer: &Mutex<OwnedWriteHalf>,
    part: &str,
    id: &str,
    endless_bytes: &AtomicUsize,
) {
    let chunked = format!("{}transfer-encoding: chunked\r\n\r\n", head(id));
    let (part, pause) = match part.strip_suffix("-slowly") {
        Some(part) => (part, Duration::from_millis(100)),
        None => (part, Duration::ZERO),
    };
    let (start, repeated) = match part {
        "status" => ("HTTP/1.1 200 ".to_owned(), "O".repeat(500)),
        "headers" => (head(id), "x: y\r\n".repeat(80)),
        "value" => (format!("{}x: ", head(id)), "y".repeat(500)),
        "informational" => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
        "chunk-size" => (chunked, "0".repeat(500)),
        "extension" => (format!("{chunked}5;"), "x".repeat(500)),
        "trailers" => (format!("{chunked}0\r\n"), "x: y\r\n".repeat(80)),
        "beyond-length" => (response(id), "z".repeat(500)),
        "body" => (
            format!("{}connection: close\r\n\r\n", head(id)),
            "z".repeat(500),
        ),
        "chunks" => (chunked, format!("1f4\r\n{}\r\n", "z".repeat(500))),
        "length" => (
            format!("{}content-length: 999999999999\r\n\r\n", head(id)),
            "z".repeat(500),
        ),
        // Enough for the node to pass the response on, and nothing after it.
        "stalled" => (
            format!(
                "{}content-length: 999999\r\n\r\n{}",
                head(id),
                "z".repeat(100_000)
            ),
            String::new(),
        ),
        "garbage" => (String::new(), "\u{1}\u{2}".repeat(250)),
        other => panic!("unknown part {other}"),
    };
    let mut writer = writer.lock().await;
    if writer.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    while !repeated.is_empty() && writer.write_all(repeated.as_bytes()).await.is_ok() {
        endless_bytes.fetch_add(repeated.len(), Ordering::SeqCst);
        sleep(pause).await;
    }
}

/// Waits until the node closes a connection on which it sends nothing more.
async fn wait_for_close(reader: &mut OwnedReadHalf) {
    let mut byte = [0];
    while reader.read(&mut byte).await.is_ok_and(|count| count > 0) {}
}
