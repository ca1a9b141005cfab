//! Settings of the processes and the inventory, both read from INI files.

pub mod ini;
pub mod inventory;
pub mod inventory_text;
pub mod routing;
pub mod serving;
pub mod settings;
