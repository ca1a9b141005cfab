//! A router with an in-memory platform, in front of three stand-in engines.
//!
//! Run it with `cargo run --release --example standalone` and try the two curl commands that
//! it prints. It runs until SIGINT or SIGTERM.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use jujubeusher::config::ini::Document;
use jujubeusher::config::inventory::Inventory;
use jujubeusher::config::settings::RouterSettings;
use jujubeusher::filter::identify::key_sha256;
use jujubeusher::observe::logging;
use jujubeusher::router::Router;
use jujubeusher::signals;
use jujubeusher_standins::engine::{Engine, EngineOptions};

const KEY: &str = "demo-key";
const SETTINGS: &str = "[router]\nname = r1\nzone = z1\nregion = g1\n\
    listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[log]\nlevel = warn\n";

fn main() -> Result<(), Box<dyn Error>> {
    let stop = signals::install_stop_handler()?;
    let engines = (1..=3).map(bind_engine).collect::<Result<Vec<_>, _>>()?;
    let settings = RouterSettings::from_document(&Document::parse("settings", SETTINGS)?)?;
    logging::open(settings.log_level)?;
    let document = Document::parse("inventory", &inventory_text(&engines))?;
    let router = Router::spawn_standalone(settings, Inventory::from_document(&document)?)?;
    print_instructions(&router);
    smol::block_on(async {
        stop.wait().await;
        router.stop().await;
    });
    Ok(())
}

/// Starts an engine that is slow enough for a user to see its response arrive token by token.
fn bind_engine(number: usize) -> std::io::Result<Engine> {
    let mut options = EngineOptions::named(&format!("engine-{number}"));
    options.token_interval = Duration::from_millis(40);
    Engine::bind(SocketAddr::from(([127, 0, 0, 1], 0)), options)
}

fn inventory_text(engines: &[Engine]) -> String {
    let digest = key_sha256(KEY);
    let mut text =
        format!("[zone z1]\nregion = g1\n[model demo]\n[team demo]\nkey_sha256 = {digest}\n");
    for (index, engine) in engines.iter().enumerate() {
        text.push_str(&format!(
            "[server engine-{}]\nmodel = demo\nzone = z1\naddress = {}\n",
            index + 1,
            engine.address()
        ));
    }
    text
}

fn curl_command(address: SocketAddr, messages: &str) -> String {
    format!(
        "curl -isN http://{address}/v1/chat/completions -H 'Authorization: Bearer {KEY}' \
         -H 'Content-Type: application/json' -H 'X-Chat-Id: chat-1' \
         -d '{{\"model\":\"demo\",\"stream\":true,\"messages\":[{messages}]}}'"
    )
}

fn print_instructions(router: &Router) {
    let (callers, admin) = (router.address(), router.admin_address());
    let first = r#"{"role":"user","content":"hello"}"#;
    let continuation = r#"{"role":"assistant","content":"hi"},{"role":"user","content":"go on"}"#;
    println!("callers={callers} admin={admin}\n");
    println!("Stream an answer:\n\n{}\n", curl_command(callers, first));
    println!("Continue the chat; x-backend-server names the same engine:\n");
    println!(
        "{}\n",
        curl_command(callers, &format!("{first},{continuation}"))
    );
    println!("State of the router: http://{admin}/dump and http://{admin}/metrics");
    println!("Ctrl-C stops the router and the engines.");
}
