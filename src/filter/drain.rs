//! Moves a chat's KV cache to another server when the server that has it is leaving.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::app::App;
use crate::config::inventory::{BackendServer, ServerState};
use crate::filter::RequestContext;
use crate::http::client::Client;

/// Timeout of the export, and of the import. A longer wait would cost more than a cache miss.
const MOVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Exports the chat's cache from the leaving server and imports it at the first candidate.
///
/// If an engine does not support export or import, the chat only loses its cache.
pub async fn apply(app: &App, context: &mut RequestContext) {
    let inventory = &context.configuration.inventory;
    let server = |id| inventory.servers.get(id);
    let source = context.hinted_server.as_ref().and_then(server);
    let Some(source) = source.filter(|source| source.state == ServerState::Leaving) else {
        return;
    };
    let Some(destination) = context.candidates.first().and_then(server) else {
        return;
    };
    let result = move_cache(source, destination, &format!("/v1/kv/{}", context.chat)).await;
    let outcome = match result {
        Ok(()) => "moved".to_owned(),
        Err(error) => format!("lost, {error}"),
    };
    app.metrics.count_leaving_cache(outcome == "moved");
    let step = format!(
        "drain: cache {outcome}, {} to {}",
        source.id, destination.id
    );
    context.record.add_step(step);
}

async fn move_cache(from: &BackendServer, to: &BackendServer, path: &str) -> Result<(), String> {
    let export = Client::open(from.address, MOVE_TIMEOUT);
    let response = export
        .call(Method::GET, path, Bytes::new())
        .await
        .map_err(|error| error.to_string())?;
    if response.status != 200 {
        return Err(format!("export status {}", response.status));
    }
    let import = Client::open(to.address, MOVE_TIMEOUT);
    let response = import
        .put(path, response.body)
        .await
        .map_err(|error| error.to_string())?;
    match response.status {
        200..=299 => Ok(()),
        status => Err(format!("import status {status}")),
    }
}
