//! Logs, metrics, state dumps and the records of recent requests.

pub mod explain;
pub mod gateway_metrics;
pub mod logging;
pub mod metrics;
pub mod recent_requests;
pub mod recorder;
