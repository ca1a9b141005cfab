//! Stand-ins for the users' platform: its configuration store and its backend servers.

pub mod backend;
mod places;
pub mod store;
pub mod stream;
