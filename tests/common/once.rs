//! Environment for non-idempotent calls: routers behind fault proxies, plain services that
//! record their runs, and a check of responses against that record.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};

use jujubeusher::filter::identify::key_sha256;
use jujubeusher_standins::objects::ObjectStore;
use jujubeusher_standins::proxy::Proxy;
use jujubeusher_standins::service::{Run, Service};
use jujubeusher_standins::table::Table;

use super::{
    PAYING_KEY, Response, RouterProcess, TempDir, any_port, ctl, exchange, get, wait_until,
};

/// A call of the plain service.
#[derive(Debug, Clone)]
pub struct Call {
    pub key: Option<String>,
    pub path: String,
    pub body: String,
    pub deadline_ms: Option<u64>,
}

impl Call {
    /// A call with an idempotency key.
    pub fn new(key: &str, body: &str) -> Self {
        Self {
            key: Some(key.to_owned()),
            path: "/desk/book".to_owned(),
            body: body.to_owned(),
            deadline_ms: None,
        }
    }

    /// A call without a key.
    pub fn without_key(path: &str, body: &str) -> Self {
        Self {
            key: None,
            path: path.to_owned(),
            body: body.to_owned(),
            deadline_ms: None,
        }
    }

    /// The same call with a deadline.
    pub fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }

    /// The request's bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut headers = String::new();
        if let Some(key) = &self.key {
            headers.push_str(&format!("idempotency-key: {key}\r\n"));
        }
        if let Some(deadline_ms) = self.deadline_ms {
            headers.push_str(&format!("x-deadline-ms: {deadline_ms}\r\n"));
        }
        format!(
            "POST {} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer {PAYING_KEY}\r\n{headers}content-length: {}\r\n\r\n{}",
            self.path,
            self.body.len(),
            self.body
        )
        .into_bytes()
    }
}

/// Faults of a set of responses against the services' record; all must be zero.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Violations {
    /// Keys that ran more than once.
    pub duplicate_runs: usize,
    /// Requests answered `not_run` that ran, and keys answered only `not_run` that ran.
    pub false_not_run: usize,
    /// Requests or keys answered `ran` without a run.
    pub false_ran: usize,
    /// Complete responses that are not the whole response of the key's own run.
    pub wrong_responses: usize,
}

/// Compares responses with the record of runs.
pub fn violations<'a, I>(runs: &[Run], responses: I) -> Violations
where
    I: IntoIterator<Item = (&'a Call, &'a Response)>,
{
    let mut by_key: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs.iter().filter(|run| !run.key.is_empty()) {
        by_key.entry(&run.key).or_default().push(run);
    }
    let mut found = Violations {
        duplicate_runs: by_key.values().filter(|runs| runs.len() > 1).count(),
        ..Violations::default()
    };
    let mut is_only_not_run: HashMap<&str, bool> = HashMap::new();
    for (call, response) in responses {
        let Some(key) = call.key.as_deref() else {
            continue;
        };
        let of_key = by_key.get(key).map_or(&[][..], Vec::as_slice);
        let is_not_run = response.header("x-run-state") == Some("not_run");
        *is_only_not_run.entry(key).or_insert(true) &= is_not_run;
        if is_not_run {
            let prefix = format!("{}-", response.header("x-request-id").unwrap_or("none"));
            let did_run = runs.iter().any(|run| run.attempt.starts_with(&prefix));
            found.false_not_run += usize::from(did_run);
        }
        if response.header("x-run-state") == Some("ran") {
            let run = of_key.iter().find(|run| run.body == call.body);
            found.false_ran += usize::from(run.is_none());
            let is_right = run.is_some_and(|run| is_response_of(response, run));
            found.wrong_responses += usize::from(response.is_complete() && !is_right);
        }
    }
    let keys = is_only_not_run.iter().filter(|(_, only)| **only);
    found.false_not_run += keys.filter(|(key, _)| by_key.contains_key(*key)).count();
    found
}

/// Whether the response is the whole response of a run.
fn is_response_of(response: &Response, run: &Run) -> bool {
    let value: serde_json::Value = serde_json::from_str(&response.body).unwrap_or_default();
    value["attempt"] == run.attempt.as_str()
        && value["echo"] == run.body.as_str()
        && value["end"] == "---end---"
}

/// An ephemeral port of a loopback address that nothing else binds, so that a port stays
/// closed once it was closed.
fn exclusive_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    SocketAddr::from(([127, 77, high, low], 0))
}

/// Routers, platform and plain services, each service and the table behind a proxy.
pub struct OnceEnv {
    pub routers: Vec<Option<RouterProcess>>,
    pub services: Vec<Service>,
    pub service_proxies: Vec<Proxy>,
    pub table: Table,
    pub table_proxy: Proxy,
    pub objects: ObjectStore,
    pub temp_dir: TempDir,
}

impl OnceEnv {
    /// Starts everything and waits until all routers have the inventory.
    pub fn open(routers: usize, services: usize) -> Self {
        Self::open_with(routers, services, "")
    }

    /// The same with `extra` lines in the settings, after those of `[platform]`.
    pub fn open_with(routers: usize, services: usize, extra: &str) -> Self {
        let table = Table::bind(any_port()).expect("the table binds");
        let service = |index| Service::bind(any_port(), &format!("s{index}"));
        let services: Vec<Service> = (0..services)
            .map(|index| service(index).expect("a service binds"))
            .collect();
        let own = exclusive_address();
        let proxy = |address| Proxy::bind(own, address).expect("a proxy binds");
        let mut env = Self {
            routers: Vec::new(),
            service_proxies: services.iter().map(|s| proxy(s.address())).collect(),
            services,
            table_proxy: proxy(table.address()),
            table,
            objects: ObjectStore::bind(any_port()).expect("the object store binds"),
            temp_dir: TempDir::open(),
        };
        env.apply("");
        for index in 0..routers {
            let router = env.spawn_router(index, extra);
            env.routers.push(Some(router));
        }
        env
    }

    /// Adds a server whose port is closed to the inventory, and waits for all routers.
    pub fn add_closed_server(&self) {
        // No listener of a test binds this address, so its port stays closed.
        self.apply(
            "[server closed]\nservice = slots\naddress = 127.0.0.99:9\nzone = z1\nslots = 64\n",
        );
        for router in self.routers.iter().flatten() {
            wait_until("the router takes up version 2", || {
                get(router.admin, "/dump").body.contains("\"version\":2")
            });
        }
    }

    /// Closes the port of service `index`, as its death does.
    pub fn close_service_port(&mut self, index: usize) {
        let upstream = self.services[index].address();
        // The inventory does not know the new proxy's address.
        self.service_proxies[index] = Proxy::bind(exclusive_address(), upstream).expect("it binds");
    }

    fn apply(&self, extra: &str) {
        let text = self.inventory() + extra;
        let path = self.temp_dir.write("inventory.ini", &text);
        let applied = ctl(&[
            "apply",
            "--table",
            &self.table.address().to_string(),
            "--objects",
            &self.objects.address().to_string(),
            path.to_str().expect("a UTF-8 path"),
        ]);
        assert!(applied.status.success(), "{applied:?}");
    }

    fn inventory(&self) -> String {
        let mut text = format!(
            "[zone z1]\nregion = g1\n[team desk]\nkey_sha256 = {}\n\
             [service slots]\npath_prefix = /desk/\n\
             [route book]\nservice = slots\nmethod = POST\npath = /desk/\n\
             [route free]\nservice = slots\nmethod = POST\npath = /desk/free/\nkey_required = no\n",
            key_sha256(PAYING_KEY)
        );
        for (index, proxy) in self.service_proxies.iter().enumerate() {
            text.push_str(&format!(
                "[server s{index}]\nservice = slots\naddress = {}\nzone = z1\nslots = 64\n",
                proxy.address()
            ));
        }
        text
    }

    /// Starts router `index`.
    pub fn spawn_router(&self, index: usize, extra: &str) -> RouterProcess {
        let table = self.table_proxy.address();
        let text = format!(
            "[router]\nname = r{index}\nzone = z1\nregion = g1\nthreads = 2\n\
             listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\ntable = {table}\nobjects = {}\nhosts = {table}\npoll_ms = 100\n{extra}",
            self.objects.address(),
        );
        let router = RouterProcess::spawn(&self.temp_dir.write(&format!("r{index}.ini"), &text));
        wait_until("the router takes up version 1", || {
            get(router.admin, "/dump").body.contains("\"version\":1")
        });
        router
    }

    /// A router's process.
    pub fn router(&self, index: usize) -> &RouterProcess {
        self.routers[index].as_ref().expect("the router runs")
    }

    /// Where router `index` takes calls.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.router(index).address
    }

    /// Kills a router at once.
    pub fn kill_router(&mut self, index: usize) {
        self.routers[index] = None;
    }

    /// Sends a call through router `index`.
    pub fn send(&self, index: usize, call: &Call) -> Response {
        exchange(self.address(index), &call.bytes())
    }

    /// Runs that the services recorded.
    pub fn runs(&self) -> Vec<Run> {
        self.services.iter().flat_map(Service::runs).collect()
    }

    /// Calls that reached a service, whether they ran or not.
    pub fn received(&self) -> u64 {
        self.services.iter().map(Service::received).sum()
    }

    /// Drops the faults that no call has met yet.
    pub fn clear_faults(&self) {
        for service in &self.services {
            service.clear_faults();
        }
    }

    /// Waits until no router has an outcome left to write.
    pub fn wait_until_settled(&self) {
        for router in self.routers.iter().flatten() {
            wait_until("the outcomes are written", || {
                let dump = get(router.admin, "/dump").body;
                dump.contains("\"claims_settling\":0") && dump.contains("\"requests_in_flight\":0")
            });
        }
    }

    /// Fails the test unless all responses agree with the record.
    pub fn assert_no_violations(&self, responses: &[(&Call, &Response)]) {
        let found = violations(&self.runs(), responses.iter().copied());
        assert_eq!(found, Violations::default(), "{responses:?}");
    }
}
