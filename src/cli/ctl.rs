//! Command line of `jujubeusher-ctl`.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use bytes::Bytes;

use crate::cli;
use crate::cli::change::{self, CurrentConfig, Platform};
use crate::config::ini::Document;
use crate::config::inventory::Inventory;
use crate::config::settings::RouterSettings;
use crate::decide::trace;
use crate::edge::object::HttpObjectStore;
use crate::edge::table::HttpTable;
use crate::error::{Error, Result};
use crate::filter::identify::key_sha256;
use crate::http::client::Client;
use crate::ids::ConfigVersion;
use crate::observe::explain::{self, Line};
use crate::peer;

/// Maximum wait for a response of the platform or a router.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Addresses of the platform's services.
#[derive(Debug, Clone, Bpaf)]
pub struct PlatformOptions {
    /// Address of the table service.
    #[bpaf(long, argument("IP:PORT"))]
    table: SocketAddr,
    /// Address of the object store.
    #[bpaf(long, argument("IP:PORT"))]
    objects: SocketAddr,
}

/// Options of a configuration change.
#[derive(Debug, Clone, Bpaf)]
pub struct ChangeOptions {
    #[bpaf(external(platform_options))]
    platform: PlatformOptions,
    /// Name to record as the author of the change.
    #[bpaf(long, argument("NAME"), fallback("operator".to_owned()))]
    operator: String,
    /// Settings file of a router; the change is pushed at once to the seeds in its section [peers].
    #[bpaf(long, argument("SETTINGS"))]
    push: Option<PathBuf>,
    /// Wait until the change is in force at all routers given with --admin.
    #[bpaf(long)]
    wait: bool,
    /// Maximum wait in milliseconds.
    #[bpaf(long, argument("MS"), fallback(10_000))]
    wait_ms: u64,
    /// Admin address of a router to wait for; may be repeated.
    #[bpaf(long, argument("IP:PORT"))]
    admin: Vec<SocketAddr>,
}

/// Changes the configuration of the fleet and inspects its state.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Check an inventory; exit code 0 if it is valid, 2 if not.
    #[bpaf(command)]
    Check {
        /// Inventory file.
        #[bpaf(positional("INVENTORY"))]
        inventory: PathBuf,
    },
    /// Print the changes that an inventory makes, and the version to pass to apply with --base.
    #[bpaf(command)]
    Diff {
        #[bpaf(external(platform_options))]
        platform: PlatformOptions,
        /// Inventory file.
        #[bpaf(positional("INVENTORY"))]
        inventory: PathBuf,
    },
    /// Apply an inventory as the next version.
    #[bpaf(command)]
    Apply {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Version that the inventory is based on; the command fails if another one is in force.
        #[bpaf(long, argument("VERSION"))]
        base: Option<u64>,
        /// Inventory file.
        #[bpaf(positional("INVENTORY"))]
        inventory: PathBuf,
    },
    /// Apply the text of an earlier version as the next version.
    #[bpaf(command)]
    Rollback {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Version whose text to apply.
        #[bpaf(long, argument("VERSION"))]
        to: u64,
    },
    /// Mark a backend server as leaving, so that it receives no new requests.
    #[bpaf(command)]
    Drain {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Name of the server in the inventory.
        #[bpaf(positional("SERVER"))]
        server: String,
    },
    /// Print the state of a process.
    #[bpaf(command)]
    Dump {
        /// Admin address of the process.
        #[bpaf(long, argument("IP:PORT"))]
        admin: SocketAddr,
    },
    /// Print the decisions on a request and their reasons.
    #[bpaf(command)]
    Explain {
        /// Admin address of a router; may be repeated to query several.
        #[bpaf(long, argument("IP:PORT"))]
        admin: Vec<SocketAddr>,
        /// Log file of a router, or - for standard input; may be repeated to merge several.
        #[bpaf(long, argument("FILE"))]
        log: Vec<PathBuf>,
        /// Request id, from the x-request-id header of the response.
        #[bpaf(positional("REQUEST_ID"))]
        request: String,
    },
    /// Repeat the decisions of a trace; exit code 0 if all outcomes are as recorded, 1 if not.
    #[bpaf(command)]
    Replay {
        /// Trace file.
        #[bpaf(positional("FILE"))]
        trace: PathBuf,
    },
    /// Print the SHA-256 digest of a key, for key_sha256 in the inventory.
    #[bpaf(command)]
    Digest {
        /// Key that callers of the team send.
        #[bpaf(positional("KEY"))]
        key: String,
    },
}

/// Parses the command line and runs the command.
pub fn run() -> Result<ExitCode> {
    match cli::parse(options()) {
        Options::Check { inventory } => check(&inventory),
        Options::Diff {
            platform,
            inventory,
        } => smol::block_on(diff(&platform, &inventory)),
        Options::Apply {
            change,
            base,
            inventory,
        } => smol::block_on(apply(&change, base, &inventory)),
        Options::Rollback { change, to } => smol::block_on(rollback(&change, to)),
        Options::Drain { change, server } => smol::block_on(drain(&change, &server)),
        Options::Dump { admin } => smol::block_on(dump(admin)),
        Options::Explain {
            admin,
            log,
            request,
        } => match log.is_empty() {
            true => smol::block_on(explain(&admin, &request)),
            false => explain_logs(&log, &request),
        },
        Options::Replay { trace } => replay(&trace),
        Options::Digest { key } => {
            println!("{}", key_sha256(&key));
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn check(path: &Path) -> Result<ExitCode> {
    let inventory = Inventory::open(path)?;
    println!(
        "ok: {} servers, {} teams",
        inventory.servers.len(),
        inventory.teams.len()
    );
    Ok(ExitCode::SUCCESS)
}

fn replay(path: &Path) -> Result<ExitCode> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::io(format!("read {}", path.display()), source))?;
    let outcome = trace::replay(&text).map_err(|error| {
        Error::command(
            format!("{}: {error}", path.display()),
            "correct the trace or record it again",
        )
    })?;
    print!("{}", outcome.text);
    Ok(match outcome.different {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}

/// Clients of the platform's services.
struct Services {
    table: Arc<HttpTable>,
    objects: Arc<HttpObjectStore>,
}

impl Services {
    fn open(options: &PlatformOptions) -> Self {
        Self {
            table: HttpTable::new(options.table, TIMEOUT),
            objects: HttpObjectStore::new(options.objects, TIMEOUT),
        }
    }

    fn platform(&self) -> Platform<'_> {
        Platform {
            table: &*self.table,
            objects: &*self.objects,
        }
    }
}

/// Reads an inventory file that must be valid.
fn read_inventory(path: &Path) -> Result<Vec<u8>> {
    Inventory::from_document(&Document::open(path)?)?;
    std::fs::read(path).map_err(|source| Error::io(format!("read {}", path.display()), source))
}

async fn diff(options: &PlatformOptions, path: &Path) -> Result<ExitCode> {
    let services = Services::open(options);
    let current = services.platform().current().await?;
    print!("{}", change::diff(&current, &read_inventory(path)?)?);
    println!("base={}", current.version());
    Ok(ExitCode::SUCCESS)
}

async fn apply(options: &ChangeOptions, base: Option<u64>, path: &Path) -> Result<ExitCode> {
    let bytes = read_inventory(path)?;
    let services = Services::open(&options.platform);
    let current = services.platform().current().await?;
    if let (Some(base), Some(head)) = (base, &current.head)
        && head.version.0 != base
    {
        return Err(change::conflict_error(head));
    }
    accept(options, &services, &current, bytes).await
}

async fn rollback(options: &ChangeOptions, to: u64) -> Result<ExitCode> {
    let services = Services::open(&options.platform);
    let current = services.platform().current().await?;
    let bytes = services.platform().version_text(ConfigVersion(to)).await?;
    accept(options, &services, &current, bytes.to_vec()).await
}

async fn drain(options: &ChangeOptions, server: &str) -> Result<ExitCode> {
    let services = Services::open(&options.platform);
    let current = services.platform().current().await?;
    let text = String::from_utf8_lossy(&current.bytes).into_owned();
    let text = change::mark_leaving(&text, server)?;
    accept(options, &services, &current, text.into_bytes()).await
}

async fn accept(
    options: &ChangeOptions,
    services: &Services,
    current: &CurrentConfig,
    bytes: Vec<u8>,
) -> Result<ExitCode> {
    let peers = match &options.push {
        Some(path) => RouterSettings::open(path)?.peers,
        None => None,
    };
    let platform = services.platform();
    let push = platform
        .accept(current, &options.operator, Bytes::from(bytes))
        .await?;
    println!("version={} change={}", push.version, push.change_id);
    if let Some(peers) = peers {
        let reached = peer::push_config(&peers, &push).await;
        println!("pushed={reached}");
    }
    if !options.wait {
        return Ok(ExitCode::SUCCESS);
    }
    let limit = Duration::from_millis(options.wait_ms);
    let lagging = change::wait_until_in_force(&options.admin, push.version, limit).await;
    if lagging.is_empty() {
        println!("in_force={}", options.admin.len());
        return Ok(ExitCode::SUCCESS);
    }
    Err(Error::command(
        format!(
            "version {} is accepted, but not in force at:\n  {}",
            push.version,
            lagging.join("\n  ")
        ),
        "they apply it when they reach the platform or a peer; see docs/operations/configuration.md",
    ))
}

async fn fetch(admin: SocketAddr, path: &str) -> Result<(u16, String)> {
    let response = Client::new(admin, TIMEOUT)
        .get(path)
        .await
        .map_err(|error| Error::command(format!("{admin}: {error}"), "check the address"))?;
    Ok((
        response.status,
        String::from_utf8_lossy(&response.body).into_owned(),
    ))
}

async fn dump(admin: SocketAddr) -> Result<ExitCode> {
    let (_, text) = fetch(admin, "/dump").await?;
    println!("{}", format_json(&text));
    Ok(ExitCode::SUCCESS)
}

async fn explain(admins: &[SocketAddr], request: &str) -> Result<ExitCode> {
    if admins.is_empty() {
        return Err(Error::command(
            "no router and no log is given",
            "name routers with --admin or their logs with --log",
        ));
    }
    for admin in admins {
        if let Ok((200, text)) = fetch(*admin, &format!("/explain/{request}")).await {
            println!("{}", format_json(&text));
            return Ok(ExitCode::SUCCESS);
        }
    }
    Err(Error::command(
        format!("no router has a record of request {request}"),
        "query all routers soon after the request: they keep records of the most recent requests only",
    ))
}

fn explain_logs(paths: &[PathBuf], request: &str) -> Result<ExitCode> {
    let mut lines = Vec::new();
    for path in paths {
        lines.extend(read_log(path, request)?);
    }
    match explain::explain_request(request, &lines) {
        Some(text) => {
            print!("{text}");
            Ok(ExitCode::SUCCESS)
        }
        None => Err(Error::command(
            format!("the logs have no line of request {request}"),
            "name the logs of all routers; a retry by the caller has its own request id",
        )),
    }
}

/// Reads the lines of a log that have the id of a request or no id. The lines of other requests are
/// not kept, since a log has many of them.
fn read_log(path: &Path, request: &str) -> Result<Vec<Line>> {
    let io_error = |source| Error::io(format!("read {}", path.display()), source);
    let (router, input): (_, Box<dyn BufRead>) = match path.to_str() {
        Some("-") => ("-".into(), Box::new(std::io::stdin().lock())),
        _ => {
            let name = path.file_stem().unwrap_or_default();
            let file = File::open(path).map_err(io_error)?;
            (name.to_string_lossy(), Box::new(BufReader::new(file)))
        }
    };
    let mut lines = Vec::new();
    for text in input.split(b'\n') {
        let text = text.map_err(io_error)?;
        let line = Line::parse(&router, &String::from_utf8_lossy(&text));
        lines.extend(line.filter(|line| line.field("id").is_none_or(|id| id == request)));
    }
    Ok(lines)
}

/// Indents a JSON text; a text that is not JSON is returned unchanged.
fn format_json(text: &str) -> String {
    serde_json::from_str::<serde_json::Value>(text)
        .and_then(|value| serde_json::to_string_pretty(&value))
        .unwrap_or_else(|_| text.to_owned())
}
