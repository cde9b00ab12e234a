//! HTTP client of the platform.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use lentilshunt_core::encoding;
use lentilshunt_schema::platform::{Outcome, Row, Scan, Transaction};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use super::{
    Error, Store, Table,
    error::{DecodeSnafu, RefusedSnafu, UnavailableSnafu},
};
use crate::{
    BoxFuture,
    http::{Exchange, Pool},
};

/// Maximum size of a response body of the platform.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A client of the table service and the object store.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// Creates a client that waits at most `timeout` for each request.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            pool: Pool::default(),
            address,
            timeout,
        }
    }

    /// Sets the connection pool of the client.
    #[must_use]
    pub fn with_pool(mut self, pool: Pool) -> Self {
        self.pool = pool;
        self
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        body: Vec<u8>,
    ) -> Result<Response<Bytes>, Error> {
        let mut request = Request::new(Bytes::from(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().expect("the path is a valid URI");
        let exchange = Exchange {
            address: self.address,
            deadline: Instant::now() + self.timeout,
            max_body_bytes: MAX_RESPONSE_BYTES,
        };
        let response = self.pool.exchange(exchange, request).await;
        response.context(UnavailableSnafu)
    }
}

impl Table for Client {
    fn read(&self, key: String) -> BoxFuture<'_, Result<Option<Row>, Error>> {
        Box::pin(async move {
            let path = format!("/table/row/{key}");
            let response = self.send(Method::GET, path, Vec::new()).await?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            decode(&response).map(Some)
        })
    }

    fn scan(&self, prefix: String) -> BoxFuture<'_, Result<Vec<Row>, Error>> {
        Box::pin(async move {
            let path = format!("/table/scan/{prefix}");
            let response = self.send(Method::GET, path, Vec::new()).await?;
            decode::<Scan>(&response).map(|scan| scan.rows)
        })
    }

    fn transact(&self, transaction: Transaction) -> BoxFuture<'_, Result<Outcome, Error>> {
        Box::pin(async move {
            let body = rmp_serde::to_vec_named(&transaction).expect("transactions can be encoded");
            let path = "/table/transact".to_owned();
            let response = self.send(Method::POST, path, body).await?;
            decode(&response)
        })
    }
}

impl Store for Client {
    fn put(&self, name: String, content: Vec<u8>) -> BoxFuture<'_, Result<(), Error>> {
        Box::pin(async move {
            let path = format!("/object/{name}");
            let response = self.send(Method::PUT, path, content).await?;
            check_status(&response)
        })
    }

    fn get(&self, name: String) -> BoxFuture<'_, Result<Option<Vec<u8>>, Error>> {
        Box::pin(async move {
            let path = format!("/object/{name}");
            let response = self.send(Method::GET, path, Vec::new()).await?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            check_status(&response)?;
            Ok(Some(response.into_body().to_vec()))
        })
    }
}

fn check_status(response: &Response<Bytes>) -> Result<(), Error> {
    let status = response.status();
    ensure!(status.is_success(), RefusedSnafu { status });
    Ok(())
}

fn decode<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T, Error> {
    check_status(response)?;
    encoding::decode(response.body()).context(DecodeSnafu)
}
