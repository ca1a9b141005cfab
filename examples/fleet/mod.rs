//! Router processes in front of stand-in engines, and a minimal asynchronous client.

#![allow(
    dead_code,
    reason = "each measuring program uses a part of this module"
)]

use std::error::Error;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use jujubeusher::filter::identify::key_sha256;
use jujubeusher_standins::engine::{Engine, EngineOptions};
use smol::net::TcpStream;

pub type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// A team of the inventory; its API key is its name.
#[derive(Debug, Clone)]
pub struct Team {
    pub name: &'static str,
    pub class: &'static str,
}

/// Running routers and engines with their settings files.
///
/// Dropping it kills the routers, stops the engines and removes the files.
pub struct Fleet {
    pub engines: Vec<Engine>,
    /// Listeners for callers.
    pub router_addresses: Vec<SocketAddr>,
    /// Admin listeners, in the order of `router_addresses`.
    pub admin_addresses: Vec<SocketAddr>,
    children: Vec<Child>,
    directory: PathBuf,
}

/// Time for the routers to connect to each other and to probe all engines.
const SETTLE_TIME: Duration = Duration::from_secs(3);

impl Fleet {
    /// Starts one engine for each of `options` and `routers` routers in front of them.
    ///
    /// `extra_settings` is appended to the settings of each router.
    pub fn open(
        options: Vec<EngineOptions>,
        routers: usize,
        teams: &[Team],
        extra_settings: &str,
    ) -> Result<Self> {
        let name = format!("jujubeusher-measure-{}-{routers}", std::process::id());
        let mut fleet = Self {
            engines: Vec::new(),
            router_addresses: Vec::new(),
            admin_addresses: Vec::new(),
            children: Vec::new(),
            directory: std::env::temp_dir().join(name),
        };
        std::fs::create_dir_all(&fleet.directory)?;
        let mut inventory_text = String::from("[zone z1]\nregion = g1\n[model m]\n");
        for team in teams {
            let key = key_sha256(team.name);
            writeln!(
                inventory_text,
                "[team {}]\nclass = {}",
                team.name, team.class
            )?;
            writeln!(inventory_text, "key_sha256 = {key}")?;
        }
        for options in options {
            let (name, slots) = (options.name.clone(), options.slots);
            let engine = Engine::bind(SocketAddr::from(([127, 0, 0, 1], 0)), options)?;
            let address = engine.address();
            writeln!(inventory_text, "[server {name}]\nmodel = m\nzone = z1")?;
            writeln!(inventory_text, "address = {address}\nslots = {slots}")?;
            fleet.engines.push(engine);
        }
        let path = fleet.directory.join("inventory.ini");
        std::fs::write(&path, inventory_text)?;
        fleet.start_routers(routers, &path, extra_settings)?;
        std::thread::sleep(SETTLE_TIME);
        Ok(fleet)
    }

    fn start_routers(
        &mut self,
        count: usize,
        inventory_path: &PathBuf,
        extra_settings: &str,
    ) -> Result<()> {
        let peer_addresses = find_free_addresses(count)?;
        let seeds: Vec<String> = peer_addresses.iter().map(SocketAddr::to_string).collect();
        for (index, peer_address) in peer_addresses.iter().enumerate() {
            let text = format!(
                "[router]\nname = r{index}\nzone = z1\nregion = g1\nthreads = 2\n\
                 listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
                 [peers]\nlisten = {peer_address}\nseeds = {}\nshared_key = measure-measure-measure\n\
                 [log]\nlevel = warn\n{extra_settings}",
                seeds.join(", ")
            );
            let settings_path = self.directory.join(format!("r{index}.ini"));
            std::fs::write(&settings_path, text)?;
            let mut child = Command::new(router_binary()?)
                .arg("--standalone")
                .arg(inventory_path)
                .arg("--settings")
                .arg(&settings_path)
                .stdout(Stdio::piped())
                .spawn()?;
            let stdout = child.stdout.take().ok_or("no standard output")?;
            self.children.push(child);
            let mut line = String::new();
            BufReader::new(stdout).read_line(&mut line)?;
            let field = |name: &str| -> Result<SocketAddr> {
                let value = line.split_whitespace().find_map(|p| p.strip_prefix(name));
                Ok(value.ok_or("the router did not start")?.parse()?)
            };
            self.router_addresses.push(field("callers=")?);
            self.admin_addresses.push(field("admin=")?);
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns loopback addresses with unused ports.
///
/// The ports are released again, so another process may bind them first.
fn find_free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<std::io::Result<_>>()?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    Ok(addresses.collect::<std::io::Result<_>>()?)
}

/// Path of the router binary, in the parent of the directory of the examples.
fn router_binary() -> Result<PathBuf> {
    let example_path = std::env::current_exe()?;
    let directory = example_path
        .parent()
        .and_then(|p| p.parent())
        .ok_or("the example has no target directory")?;
    let path = directory.join("jujubeusher-router");
    match path.exists() {
        true => Ok(path),
        false => Err("build the router first: cargo build --release".into()),
    }
}

/// One request of a chat.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    pub router: SocketAddr,
    pub key: String,
    pub chat: String,
    /// Whether the chat already has a response; its messages are then sent again.
    pub is_returning: bool,
    /// Placement hint of the previous response.
    pub hint: Option<String>,
}

/// Response to a [`ChatRequest`].
#[derive(Debug, Clone, Default)]
pub struct ChatResponse {
    /// HTTP status; 0 if the response has none.
    pub status: u16,
    /// Time from the start of the connection to the first event; zero if none was received.
    pub first_token_delay: Duration,
    /// Value of `x-backend-server`; empty if absent.
    pub server: String,
    pub hint: Option<String>,
    /// Whether the stream ended with `[DONE]`.
    pub is_complete: bool,
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Requests a streamed chat completion and reads the complete response.
pub async fn send_chat_request(request: &ChatRequest) -> Result<ChatResponse> {
    let user_message = r#"{"role":"user","content":"hi"}"#;
    let messages = match request.is_returning {
        true => format!(r#"{user_message},{{"role":"assistant","content":"yes"}},{user_message}"#),
        false => user_message.to_owned(),
    };
    let body = format!(r#"{{"model":"m","stream":true,"messages":[{messages}]}}"#);
    let hint = request.hint.as_ref();
    let hint = hint.map_or(String::new(), |h| format!("x-placement-hint: {h}\r\n"));
    let request_text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {}\r\nx-chat-id: {}\r\n{hint}content-length: {}\r\n\r\n{body}",
        request.key,
        request.chat,
        body.len()
    );
    let start = Instant::now();
    let mut stream = TcpStream::connect(request.router).await?;
    stream.set_nodelay(true)?;
    stream.write_all(request_text.as_bytes()).await?;
    let (mut text, mut buffer) = (String::new(), [0u8; 4096]);
    let mut response = ChatResponse::default();
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            break;
        }
        let had_first_token = text.contains("data:");
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
        if !had_first_token && text.contains("data:") {
            response.first_token_delay = start.elapsed();
        }
    }
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    let status = head.split_whitespace().nth(1);
    response.status = status.and_then(|code| code.parse().ok()).unwrap_or(0);
    response.server = header(head, "x-backend-server").unwrap_or_default();
    response.hint = header(head, "x-placement-hint");
    response.is_complete = text.contains("data: [DONE]");
    Ok(response)
}

/// Returns the value below which `fraction` of the sorted values lie, or 0 without values.
pub fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    match sorted.len() {
        0 => 0.0,
        count => sorted[((count - 1) as f64 * fraction) as usize],
    }
}
