//! Stand-ins for the external systems that jujubeusher talks to. They implement only
//! the published protocols of those systems.
//!
//! Each `bind` starts a server on the given port, or on an ephemeral one for port 0, and returns
//! a handle. Dropping the handle stops the server.

pub mod address;
pub mod engine;
pub mod hosts;
pub mod listening;
pub mod objects;
pub mod orders;
pub mod platform;
pub mod proxy;
pub mod serve;
pub mod service;
pub mod settings;
pub mod table;
