//! Logs, metrics, recorded decisions, and records and explanations of single requests.

pub mod explain;
pub mod gateway_metrics;
pub mod logging;
pub mod metrics;
pub mod recent_requests;
pub mod recorder;
