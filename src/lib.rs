//! A fleet of routers between callers and backend servers, for services with very many chats that
//! return after long pauses.
//!
//! `docs/design.md` describes the parts, their state and what happens when one fails.

pub mod admin;
pub mod app;
pub mod cli;
pub mod config;
pub mod control;
pub mod controller;
pub mod decide;
pub mod edge;
pub mod error;
pub mod filter;
pub mod gateway;
pub mod http;
pub mod ids;
pub mod observe;
pub mod peer;
pub mod refusal;
pub mod router;
pub mod runtime;
pub mod signals;
pub mod tcp;
