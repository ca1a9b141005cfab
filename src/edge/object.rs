//! The platform's object store: values that are read and written as a whole, by key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use parking_lot::Mutex;
use thiserror::Error;

use crate::edge::BoxFuture;
use crate::http::client::{CallError, Client};

/// Why a call to the object store failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the object store is not available ({0}); retry later")]
pub struct ObjectError(pub String);

/// An object store.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, ObjectError>>;
    /// Writes an object, replacing any previous value.
    fn put<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Result<(), ObjectError>>;
}

/// An object store in the memory of this process, for standalone mode.
#[derive(Debug, Default)]
pub struct MemoryObjectStore {
    objects: Mutex<IndexMap<String, Bytes>>,
}

impl MemoryObjectStore {
    /// Creates an empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }
}

impl ObjectStore for MemoryObjectStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, ObjectError>> {
        let value = self.objects.lock().get(key).cloned();
        Box::pin(async move { Ok(value) })
    }

    fn put<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Result<(), ObjectError>> {
        self.objects.lock().insert(key.to_owned(), value);
        Box::pin(async { Ok(()) })
    }
}

/// The object store over HTTP.
#[derive(Debug, Clone)]
pub struct HttpObjectStore {
    client: Client,
}

impl HttpObjectStore {
    /// Creates a client of the store at `address`. No connection is opened yet.
    pub fn new(address: SocketAddr, timeout: Duration) -> Arc<Self> {
        Arc::new(Self {
            client: Client::new(address, timeout),
        })
    }
}

impl From<CallError> for ObjectError {
    fn from(error: CallError) -> Self {
        Self(error.to_string())
    }
}

impl ObjectStore for HttpObjectStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, ObjectError>> {
        Box::pin(async move {
            let response = self.client.get(&format!("/v1/objects/{key}")).await?;
            match response.status {
                200 => Ok(Some(response.body)),
                404 => Ok(None),
                status => Err(ObjectError(format!("status {status}"))),
            }
        })
    }

    fn put<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Result<(), ObjectError>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{key}");
            let response = self.client.put(&path, value).await?;
            match response.status {
                200 | 201 | 204 => Ok(()),
                status => Err(ObjectError(format!("status {status}"))),
            }
        })
    }
}
