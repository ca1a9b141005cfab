//! Stand-ins for the outside systems: they speak only the outside protocols.
//!
//! Each `bind` starts a server on an ephemeral or given port and returns a running handle;
//! dropping the handle stops the server.

pub mod engine;
pub mod hosts;
pub mod objects;
pub mod orders;
pub mod platform;
pub mod proxy;
pub mod serve;
pub mod service;
pub mod settings;
pub mod table;
