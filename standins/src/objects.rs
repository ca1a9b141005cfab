//! Stand-in for the platform's object store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;

use crate::serve::{Body, Server, response};

type Objects = Arc<Mutex<BTreeMap<String, Bytes>>>;

/// Handle of a running object store.
#[derive(Debug)]
pub struct ObjectStore {
    server: Server,
}

impl ObjectStore {
    /// Starts an empty store.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let objects = Objects::default();
        let server = Server::bind(address, move |request| {
            handle_request(objects.clone(), request)
        })?;
        Ok(Self { server })
    }

    /// Listening address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

async fn handle_request(objects: Objects, request: Request<Incoming>) -> Response<Body> {
    let Some(key) = request.uri().path().strip_prefix("/v1/objects/") else {
        return response(StatusCode::NOT_FOUND, "");
    };
    let key = key.to_owned();
    if request.method() != Method::PUT {
        let found = objects.lock().get(&key).cloned();
        return match found {
            Some(bytes) => response(StatusCode::OK, bytes),
            None => response(StatusCode::NOT_FOUND, ""),
        };
    }
    match request.into_body().collect().await {
        Ok(body) => {
            objects.lock().insert(key, body.to_bytes());
            response(StatusCode::CREATED, "")
        }
        Err(error) => response(StatusCode::BAD_REQUEST, error.to_string()),
    }
}
