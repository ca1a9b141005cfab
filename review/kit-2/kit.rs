//! Stand-ins and helpers of the scripts of the second review: the platform's store, the start and end
//! of routers, HTTP on plain sockets. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---- record ----------------------------------------------------------------------------------

/// The file `record.txt`, with the time of each line since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open() -> Self {
        let file = File::create("record.txt").expect("record.txt can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Ends the process with 2 if the case takes too long, or a thread of it panics.
pub fn start_watchdog(record: &Record, limit_s: u64) {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        end_all_children();
        std::process::exit(2);
    }));
    let record = record.clone();
    thread::spawn(move || {
        sleep_ms(limit_s * 1_000);
        record.say("the case took too long and could not run");
        end_all_children();
        std::process::exit(2);
    });
}

// ---- processes -------------------------------------------------------------------------------

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn register_child(child: &Child) {
    CHILDREN.lock().unwrap().push(child.id());
}

/// Kills a process that this test started, and waits for its end.
pub fn kill_child(child: &mut Child) {
    CHILDREN.lock().unwrap().retain(|pid| *pid != child.id());
    let _ = child.kill();
    let _ = child.wait();
}

pub fn end_all_children() {
    let Ok(mut children) = CHILDREN.lock() else { return };
    for pid in children.drain(..) {
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// Ends the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, code: i32) -> ! {
    end_all_children();
    record.say(match code {
        0 => "result: the rule held",
        1 => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    std::process::exit(code);
}

// ---- addresses -------------------------------------------------------------------------------

/// Ports that a machine needs: a range of 16 for the routers, and those of callers, readiness checks and
/// operators.
const PORTS: u16 = 32;
const PORT_FRONT: u16 = 16;
const PORT_READY: u16 = 17;
const PORT_CONTROL: u16 = 18;

/// First of `PORTS` ports, below the ephemeral range, of which the used ones are free on all these
/// loopback addresses.
fn free_ports(ips: &[Ipv4Addr]) -> u16 {
    let used = [0, PORT_FRONT, PORT_READY, PORT_CONTROL];
    let is_free = |first: u16| {
        ips.iter().all(|ip| used.iter().all(|port| TcpListener::bind((*ip, first + port)).is_ok()))
    };
    let start = (std::process::id() % 250) as u16;
    let firsts = (0..250u16).map(|step| 20_000 + (start + step) % 250 * PORTS);
    firsts.into_iter().find(|first| is_free(*first)).expect("free ports")
}

// ---- base64 and JSON -------------------------------------------------------------------------

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            match i <= chunk.len() {
                true => text.push(ALPHABET[(n >> (18 - 6 * i) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for c in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|a| *a == c) else { continue };
        n = n << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((n >> bits & 255) as u8);
        }
    }
    bytes
}

/// A JSON value, as far as calls of the store need it.
#[derive(Debug, Clone)]
pub enum Json {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(HashMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(bytes, at);
        match *bytes.get(*at)? {
            b'"' => Some(Json::Text(Self::string(bytes, at)?)),
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => break,
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
                *at += 1;
                Some(Json::List(list))
            }
            b'{' => {
                *at += 1;
                let mut fields = HashMap::new();
                loop {
                    Self::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => break,
                        b',' => *at += 1,
                        _ => {
                            let key = Self::string(bytes, at)?;
                            Self::skip(bytes, at);
                            *at += 1;
                            fields.insert(key, Self::value(bytes, at)?);
                        }
                    }
                }
                *at += 1;
                Some(Json::Object(fields))
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|b| !b",]} \n".contains(b)) {
                    *at += 1;
                }
                let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
                Some(text.parse().map_or(Json::Other, Json::Number))
            }
        }
    }

    fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
        *at += 1;
        let mut text = Vec::new();
        loop {
            match *bytes.get(*at)? {
                b'"' => break,
                b'\\' => {
                    *at += 1;
                    text.push(*bytes.get(*at)?);
                }
                byte => text.push(byte),
            }
            *at += 1;
        }
        *at += 1;
        String::from_utf8(text).ok()
    }
}

// ---- HTTP on plain sockets -------------------------------------------------------------------

/// Head of a message, with lower-case field names.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn length(&self) -> usize {
        self.field("content-length").and_then(|l| l.trim().parse().ok()).unwrap_or(0)
    }
}

/// Reads from a connection with a buffer.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> Self {
        Self { stream: stream.try_clone().unwrap(), buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut block = [0; 65_536];
        match self.stream.read(&mut block)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.buffer.extend_from_slice(&block[..length]);
                Ok(())
            }
        }
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Head { first, fields: fields.collect() })
    }

    pub fn bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Body of a message with a length or chunks; the error tells that it is not whole.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").is_none() {
            return self.bytes(head.length());
        }
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                    break end;
                }
                self.fill()?;
            };
            let line = self.bytes(end + 2)?;
            let text = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let chunk = self.bytes(size + 2)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// Sends a response with a JSON body.
fn respond_json(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())
}

/// Whether a readiness check of this address gets 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let asked = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /jujubeusher/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
        Ok(Reader::new(&stream).head()?.status())
    };
    asked().is_ok_and(|status| status == 200)
}

// ---- the platform's store --------------------------------------------------------------------

#[derive(Default)]
struct Content {
    version: u64,
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    /// Table, key and version of each change.
    changes: Vec<(String, String, u64)>,
}

impl Content {
    fn write(&mut self, table: &str, key: &str, value: Option<&[u8]>, version: u64) {
        let at = (table.to_owned(), key.to_owned());
        match value {
            Some(value) => _ = self.rows.insert(at, (value.to_vec(), version)),
            None => _ = self.rows.remove(&at),
        }
        self.changes.push((table.to_owned(), key.to_owned(), version));
    }

    fn row(&self, table: &str, key: &str) -> String {
        match self.rows.get(&(table.to_owned(), key.to_owned())) {
            Some((value, version)) => format!(
                "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Value\":\"{}\",\"Ver\":{version}}}",
                base64(value)
            ),
            None => format!("{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Removed\":true}}"),
        }
    }
}

/// Stand-in of the platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    start: Instant,
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            start: Instant::now(),
            content: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || _ = store.serve(stream));
            }
        });
        store
    }

    /// Writes or removes a row, as the operator or a server.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut content = self.content.0.lock().unwrap();
        content.version += 1;
        let version = content.version;
        content.write(table, key, value.map(str::as_bytes), version);
        self.content.1.notify_all();
    }

    /// Keys of the rows of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let content = self.content.0.lock().unwrap();
        let rows = content.rows.keys().filter(|(t, _)| t == table);
        rows.map(|(_, key)| key.clone()).collect()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(&stream);
        loop {
            let head = reader.head()?;
            let body = reader.body(&head)?;
            let target = head.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let param = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(n, _)| *n == name).map_or("", |(_, value)| value)
            };
            sleep_ms(4);
            let (status, answer) = match path {
                "/jujubeusher/rows-get" => ("200 OK", self.read(param("Table"), param("From"))),
                "/jujubeusher/rows-feed" => {
                    let since = param("SinceRev").parse().unwrap_or(0);
                    let wait = param("WaitMs").parse().unwrap_or(0);
                    ("200 OK", self.changes(param("Table"), since, wait))
                }
                "/jujubeusher/rows-tx" => self.transact(&String::from_utf8_lossy(&body)),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            respond_json(&mut stream, status, &answer)?;
        }
    }

    fn tail(&self, content: &Content) -> String {
        format!("\"Ver\":{},\"NowMs\":{}}}", content.version, self.start.elapsed().as_millis())
    }

    fn read(&self, table: &str, from: &str) -> String {
        let from = from.replace("%00", "\0");
        let content = self.content.0.lock().unwrap();
        let keys = content.rows.keys().filter(|(t, key)| t == table && *key >= from);
        let rows: Vec<String> = keys.map(|(_, key)| content.row(table, key)).collect();
        format!("{{\"Rows\":[{}],\"Truncated\":false,{}", rows.join(","), self.tail(&content))
    }

    fn changes(&self, table: &str, since: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut content = self.content.0.lock().unwrap();
        loop {
            let new = content.changes.iter().filter(|(t, _, version)| t == table && *version > since);
            let mut keys: Vec<&str> = Vec::new();
            for (_, key, _) in new {
                keys.retain(|known| known != key);
                keys.push(key);
            }
            let left = until.saturating_duration_since(Instant::now());
            if !keys.is_empty() || left.is_zero() {
                let rows: Vec<String> = keys.iter().map(|key| content.row(table, key)).collect();
                return format!("{{\"Rows\":[{}],{}", rows.join(","), self.tail(&content));
            }
            content = self.content.1.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let call = Json::parse(body).unwrap_or(Json::Other);
        let list = |name: &str| call.get(name).map_or(Vec::new(), |value| value.list().to_vec());
        let field = |row: &Json, name: &str| row.get(name).map_or("", Json::text).to_owned();
        let mut content = self.content.0.lock().unwrap();
        for row in list("ExpectRev") {
            let at = (field(&row, "Table"), field(&row, "Key"));
            let known = content.rows.get(&at).map_or(0, |(_, version)| *version);
            if known != row.get("Ver").map_or(0, Json::number) {
                let row = content.row(&at.0, &at.1);
                return ("412 Precondition Failed", format!("{{\"Rows\":[{row}],{}", self.tail(&content)));
            }
        }
        content.version += 1;
        let version = content.version;
        for row in list("SetKeys") {
            let value = unbase64(&field(&row, "Value"));
            content.write(&field(&row, "Table"), &field(&row, "Key"), Some(&value), version);
        }
        for row in list("Delete") {
            content.write(&field(&row, "Table"), &field(&row, "Key"), None, version);
        }
        self.content.1.notify_all();
        ("200 OK", format!("{{{}", self.tail(&content)))
    }
}

// ---- routers ---------------------------------------------------------------------------------

/// What the settings of all routers of a deployment have in common; those of the site
/// `cmos-booking` where a case has no others.
#[derive(Clone)]
pub struct Deployment {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub zones: Vec<&'static str>,
    pub memory_mb: u64,
    /// First port of the routers' range; ports are the same on all machines.
    pub first_port: u16,
    /// Address of each router's machine.
    pub ips: Vec<Ipv4Addr>,
}

impl Deployment {
    pub fn new(store: &Store, zones: &[&'static str]) -> Self {
        let root = std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT is set by run.sh");
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let ips: Vec<Ipv4Addr> =
            (0..zones.len()).map(|n| Ipv4Addr::new(127, 0, 0, 2 + n as u8)).collect();
        Self {
            root: PathBuf::from(root),
            folder,
            store: store.address,
            zones: zones.to_vec(),
            memory_mb: 260,
            first_port: free_ports(&ips),
            ips,
        }
    }

    /// The command of the deploy file.
    fn command(&self) -> Vec<String> {
        let text = fs::read_to_string(self.root.join("deploy/system.toml")).expect("the deploy file");
        let line = text.lines().find(|line| line.trim_start().starts_with("run")).expect("a command");
        let command = line.split('"').nth(1).expect("a command");
        command.split(' ').map(str::to_owned).collect()
    }

    pub fn seeds(&self) -> String {
        let seeds = self.ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", self.first_port + PORT_CONTROL));
        seeds.collect::<Vec<_>>().join(",")
    }

    pub fn remove(&self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A router process.
pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    root: PathBuf,
    command: Vec<String>,
    pub child: Child,
}

impl Router {
    pub fn start(deployment: &Deployment, number: usize) -> Self {
        let zone = deployment.zones[number];
        let ip = deployment.ips[number];
        let name = format!("front-{zone}-1");
        let first = deployment.first_port;
        let (front, ready) = (first + PORT_FRONT, first + PORT_READY);
        let zones = deployment.zones.iter().map(|zone| format!("{zone} = \"pnw\""));
        let zones: Vec<String> = zones.collect();
        let text = format!(
            "Node = \"{name}\"\nRole = \"router\"\nClass = \"front\"\nServes = [\"front\",\"control\"]\n\
             Ip = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"pnw\"\nPortRange = [{first},{last}]\n\
             Seeds = [{seeds}]\nBootstrap = true\nInTolerance = false\nDiscovery = \"platform\"\n\
             Entry = \"vip\"\nBeatMs = 1200\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"]\n\
             [Zones]\n{zones}\n\
             [Listen]\nFront = \"{ip}:{front}\"\nReady = \"{ip}:{ready}\"\nControl = \"{ip}:{control}\"\n\
             [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = {memory}\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n\
             [Tolerate]\nMachines = 1\nZones = 1\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\n\
             GraceS = 8\nLossSlackMs = 200\nApplyMs = 2000\nRollbackSlackMs = 250\nMaxSkewMs = 5000\nStrictRevoke = false\n\
             RevokeMs = 5000\nBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 54\nRecoverS = 12\nPassMs = 120\nAgainS = 10\nCapX = 2\n\
             [Provider]\nAddr = \"{store}\"\nform = \"table\"\nWritesPerS = 400\nReadsPerS = 2000\nTxMs = 8.0\n\
             PartWritesPerS = 150\nRowBytes = 65536\nAcross = false\nHistoryS = 20\n",
            last = first + 15,
            seeds = deployment.seeds(),
            zones = zones.join("\n"),
            control = first + PORT_CONTROL,
            memory = deployment.memory_mb,
            store = deployment.store,
        );
        let settings = deployment.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        let log = deployment.folder.join(format!("{name}.log"));
        let _ = fs::remove_file(&log);
        let command = deployment.command();
        let child = spawn(&deployment.root, &command, &settings, &log);
        Self {
            name,
            front: SocketAddr::from((ip, front)),
            ready: SocketAddr::from((ip, ready)),
            log,
            settings,
            root: deployment.root.clone(),
            command,
            child,
        }
    }

    pub fn kill(&mut self) {
        kill_child(&mut self.child);
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.root, &self.command, &self.settings, &self.log);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

fn spawn(root: &Path, command: &[String], settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
    let child = Command::new(root.join(&command[0]))
        .args(&command[1..])
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("JUJUBEUSHER_BOOT", settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the program of the deploy file is built");
    register_child(&child);
    child
}

/// Waits until all routers are ready; false if one is not in time.
pub fn wait_ready(routers: &[Router], limit_ms: u64) -> bool {
    let until = Instant::now() + Duration::from_millis(limit_ms);
    while Instant::now() < until {
        if routers.iter().all(|router| is_ready(router.ready)) {
            return true;
        }
        sleep_ms(20);
    }
    false
}

// ---- ids -------------------------------------------------------------------------------------

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request id of 16 characters that no other request of this run has.
pub fn request_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", unix_ms() as u32)
}
