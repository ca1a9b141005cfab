//! Test environment of all tests: stand-ins for platform and engines run in the test process, the
//! real binaries run as child processes.

#![allow(dead_code, reason = "each test binary uses a part of the environment")]

pub mod caller;
pub mod fault_run;
pub mod once;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use jujubeusher::filter::identify::key_sha256;
use jujubeusher_standins::address::can_bind;
use jujubeusher_standins::engine::{Engine, EngineOptions};
use jujubeusher_standins::objects::ObjectStore;
use jujubeusher_standins::table::Table;

/// API key of the paying team in the inventories of the tests.
pub const PAYING_KEY: &str = "paying-key";
/// Longest wait for a condition; passing tests wait far less.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Path of a binary: for tests as set by cargo, for examples the parent directory of the example's
/// own directory.
pub fn binary(name: &str) -> PathBuf {
    let named = match name {
        "jujubeusher-router" => option_env!("CARGO_BIN_EXE_jujubeusher-router"),
        "jujubeusher-controller" => option_env!("CARGO_BIN_EXE_jujubeusher-controller"),
        _ => option_env!("CARGO_BIN_EXE_jujubeusher-ctl"),
    };
    if let Some(path) = named {
        return PathBuf::from(path);
    }
    let example = std::env::current_exe().expect("the program has a path");
    let directory = example.ancestors().nth(2).expect("examples have a parent");
    directory.join(name)
}

/// Loopback address with port 0, for which the system picks a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a loopback address on which nothing listens. Its port is below the ephemeral range, so
/// that the system does not assign it to another listener in the meantime.
pub fn unused_port() -> SocketAddr {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 16_000;
    let offset = std::process::id().wrapping_mul(61);
    loop {
        let number = offset.wrapping_add(NEXT_NUMBER.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST + number % COUNT) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if can_bind(address) {
            return address;
        }
    }
}

/// Temporary directory, removed when dropped.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates an empty directory with a unique name.
    pub fn open() -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("jujubeusher-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the temporary directory is writable");
        Self(path)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the temporary directory is writable");
        path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A router process; dropping it kills the process.
#[derive(Debug)]
pub struct RouterProcess {
    pub child: Child,
    pub address: SocketAddr,
    pub admin: SocketAddr,
}

impl RouterProcess {
    /// Starts the binary and waits until it prints its addresses.
    pub fn spawn(settings: &Path) -> Self {
        let mut child = Command::new(binary("jujubeusher-router"))
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the router starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the router prints its addresses");
        let field = |name: &str| {
            let value = line
                .split_whitespace()
                .find_map(|pair| pair.strip_prefix(name));
            value.expect(&line).parse().expect("an address")
        };
        Self {
            address: field("callers="),
            admin: field("admin="),
            child,
        }
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins for platform and engines, and a temporary directory.
pub struct Env {
    pub temp_dir: TempDir,
    pub table: Table,
    pub objects: ObjectStore,
    pub engines: Vec<Engine>,
}

impl Env {
    /// Starts the platform and engines named e0, e1, …
    pub fn open(engines: usize) -> Self {
        let engine = |index| {
            let options = EngineOptions::named(&format!("e{index}"));
            Engine::bind(any_port(), options).expect("an engine binds")
        };
        Self {
            temp_dir: TempDir::open(),
            table: Table::bind(any_port()).expect("the table binds"),
            objects: ObjectStore::bind(any_port()).expect("the object store binds"),
            engines: (0..engines).map(engine).collect(),
        }
    }

    /// Inventory with one paying team and all engines as servers of model `m`.
    pub fn inventory(&self) -> String {
        let mut text = format!(
            "[zone z1]\nregion = g1\n[model m]\n[team desk]\nkey_sha256 = {}\n",
            key_sha256(PAYING_KEY)
        );
        for (index, engine) in self.engines.iter().enumerate() {
            text.push_str(&format!(
                "[server e{index}]\nmodel = m\naddress = {}\nzone = z1\nslots = 8\n",
                engine.address()
            ));
        }
        text
    }

    /// Writes the settings file of router `name`, with `extra` sections, and returns its path.
    pub fn settings(&self, name: &str, extra: &str) -> PathBuf {
        let text = format!(
            "[router]\nname = {name}\nzone = z1\nregion = g1\nthreads = 2\n\
             listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\ntable = {table}\nobjects = {objects}\nhosts = {table}\npoll_ms = 100\n{extra}",
            table = self.table.address(),
            objects = self.objects.address(),
        );
        self.temp_dir.write(&format!("{name}.ini"), &text)
    }

    /// Starts router `name` with default settings.
    pub fn router(&self, name: &str) -> RouterProcess {
        RouterProcess::spawn(&self.settings(name, ""))
    }

    /// Runs `jujubeusher-ctl apply` on an inventory.
    pub fn apply(&self, inventory: &str) -> Output {
        let path = self.temp_dir.write("inventory.ini", inventory);
        ctl(&[
            "apply",
            "--table",
            &self.table.address().to_string(),
            "--objects",
            &self.objects.address().to_string(),
            path.to_str().expect("a UTF-8 path"),
        ])
    }
}

/// Runs `jujubeusher-ctl`.
pub fn ctl(arguments: &[&str]) -> Output {
    Command::new(binary("jujubeusher-ctl"))
        .args(arguments)
        .output()
        .expect("ctl runs")
}

/// An HTTP response, possibly truncated; the status is 0 if none could be parsed.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: String,
    pub body: String,
}

impl Response {
    /// Whether the body has the length given by its `content-length`.
    pub fn is_complete(&self) -> bool {
        let stated = self.header("content-length").and_then(|v| v.parse().ok());
        self.status > 0 && stated == Some(self.body.len())
    }

    /// Returns a header's value; header names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// Sends raw bytes on a new connection and reads until the server closes it.
pub fn exchange(address: SocketAddr, request: &[u8]) -> Response {
    let mut stream = TcpStream::connect(address).expect("the listener is up");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a timeout can be set");
    stream.write_all(request).expect("the request is accepted");
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (headers, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = headers
        .split_whitespace()
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    Response {
        status,
        headers: headers.to_owned(),
        body: body.to_owned(),
    }
}

/// Sends a GET request on a new connection.
pub fn get(address: SocketAddr, path: &str) -> Response {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    exchange(address, request.as_bytes())
}

/// Sends a streaming chat completion request on a new connection.
pub fn chat(address: SocketAddr, key: &str, chat: &str) -> Response {
    let body = r#"{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\nx-chat-id: {chat}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(address, request.as_bytes())
}

/// Waits until a condition holds; panics with its description after [`WAIT_TIMEOUT`].
pub fn wait_until<F>(description: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {description}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}
