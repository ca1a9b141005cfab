//! Decision logic without side effects: each function computes a decision from its inputs and
//! the time that the caller passes in.
//!
//! Nothing here opens a socket, reads a clock or starts a task, so a recorded trace of
//! inputs replays to the same outputs.

pub mod admission_level;
pub mod admit;
pub mod allowance;
pub mod capacity;
pub mod choose;
pub mod claim;
pub mod cold_start;
pub mod evacuation;
pub mod fair_share;
pub mod fleet_counts;
pub mod health;
pub mod hint;
pub mod learned_capacity;
pub mod lease;
pub mod link_delay;
pub mod load;
pub mod membership;
pub mod memory_budget;
pub mod memory_plan;
pub mod offers;
pub mod open_runs;
pub mod orders;
pub mod overlay;
pub mod overload;
pub mod part_strikes;
pub mod pause;
pub mod placement;
pub mod probe;
pub mod prompt_homes;
pub mod recovery;
pub mod registry;
pub mod relay_tree;
pub mod rendezvous;
pub mod retry;
pub mod retry_window;
pub mod run_doubt;
pub mod server_limit;
pub mod strikes;
pub mod table_position;
pub mod table_supply;
pub mod trace;
pub mod trials;
pub mod version;
pub mod wait_queue;
