//! Settings of the processes and the inventory, which are read from INI files, and the routing
//! table of the gateway.

pub mod ini;
pub mod inventory;
pub mod inventory_text;
pub mod routing;
pub mod serving;
pub mod settings;
