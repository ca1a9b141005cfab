//! Simulates the placement decisions of many routers over modelled engines.
//!
//! Routers use the decision code of the product. Engines run batches, prefill prompts in chunks,
//! cache shared prompt parts in limited memory and report their load with a lag. A run is
//! deterministic for a given seed.

pub mod engine;
pub mod fleet;
pub mod report;
pub mod router;
pub mod scenario;
pub mod traffic;
