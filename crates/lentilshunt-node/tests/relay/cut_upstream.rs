//! An upstream that ends responses early.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::raw_upstream::{RawUpstream, read_request};

/// Time for which an upstream waits before it resets a connection, so that what it has written is
/// read before.
const RESET_DELAY: Duration = Duration::from_millis(5);

/// How a connection goes on after the response to a request with `cut` in its path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The upstream closes it.
    Close,
    /// The upstream resets it.
    Reset,
    /// The upstream keeps it open.
    Keep,
}

/// Response to the requests with `cut` in their path.
#[derive(Clone, Debug)]
pub struct Script {
    /// Bytes that are written; `{id}` is replaced by the id of the request.
    pub response: String,
    pub end: End,
}

/// An upstream that responds to requests with `cut` in their path by a script, and to all others
/// with [`RawUpstream::body`].
#[derive(Debug)]
pub struct CutUpstream {
    pub address: SocketAddr,
    pub script: Arc<Mutex<Script>>,
    /// Requests with `cut` in their path.
    pub cut: Arc<AtomicUsize>,
    /// Those of them that were not the first of their connection.
    pub cut_on_kept: Arc<AtomicUsize>,
}

impl CutUpstream {
    /// Starts the upstream.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let script = Script {
            response: String::new(),
            end: End::Close,
        };
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            script: Arc::new(Mutex::new(script)),
            cut: Arc::default(),
            cut_on_kept: Arc::default(),
        };
        let script = Arc::clone(&upstream.script);
        let cut = Arc::clone(&upstream.cut);
        let cut_on_kept = Arc::clone(&upstream.cut_on_kept);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counters = [Arc::clone(&cut), Arc::clone(&cut_on_kept)];
                tokio::spawn(serve(stream, Arc::clone(&script), counters));
            }
        });
        upstream
    }

    /// Sets the response to the requests with `cut` in their path.
    pub fn set_script(&self, response: &str, end: End) {
        *self.script.lock().unwrap() = Script {
            response: response.to_owned(),
            end,
        };
    }
}

async fn serve(mut stream: TcpStream, script: Arc<Mutex<Script>>, counters: [Arc<AtomicUsize>; 2]) {
    stream.set_nodelay(true).unwrap();
    let mut is_first = true;
    while let Some(request) = read_request(&mut stream).await {
        let is_cut = request.path.contains("cut");
        let Script { response, end } = if is_cut {
            counters[0].fetch_add(1, Ordering::SeqCst);
            counters[1].fetch_add(usize::from(!is_first), Ordering::SeqCst);
            script.lock().unwrap().clone()
        } else {
            let body = RawUpstream::body("{id}");
            let length = RawUpstream::body(&request.id).len();
            let head = "HTTP/1.1 200 OK\r\nattempt: {id}\r\nseal: sealed";
            Script {
                response: format!("{head}\r\ncontent-length: {length}\r\n\r\n{body}"),
                end: End::Keep,
            }
        };
        is_first = false;
        let response = response.replace("{id}", &request.id);
        // The node may have closed the connection.
        let _is_closed = stream.write_all(response.as_bytes()).await;
        match end {
            End::Close => return,
            End::Reset => {
                sleep(RESET_DELAY).await;
                stream.set_zero_linger().unwrap();
                return;
            }
            End::Keep => {}
        }
    }
}
