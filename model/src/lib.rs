//! Plays the product's placement decisions at many routers over modelled engines.
//!
//! Engines run batches, read prompts in chunks, keep shared prompt parts in limited memory and
//! tell their load late. A run is deterministic from its seed.

pub mod engine;
pub mod fleet;
pub mod report;
pub mod router;
pub mod scenario;
pub mod traffic;
