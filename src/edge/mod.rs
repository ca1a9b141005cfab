//! Interfaces to systems outside the process: a trait for each, with its implementations.

pub mod clock;
pub mod engine;
pub mod host_list;
pub mod object;
pub mod table;

use std::future::Future;
use std::pin::Pin;

/// A boxed future, which keeps the traits of this module usable as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
