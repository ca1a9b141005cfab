//! Controllers: each one owns a part of the process's state, passes it to the pure decision
//! functions in `decide` and provides snapshots of it.

pub mod claims;
pub mod commit;
pub mod config;
pub mod deferred;
pub mod exchange;
pub mod flight;
pub mod leases;
pub mod load;
pub mod members;
pub mod orders;
pub mod preempt;
pub mod probe;
pub mod retries;
pub mod strike_sync;
pub mod strikes;
pub mod suspects;
pub mod teams;
pub mod weights;
