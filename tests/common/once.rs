//! Environment for non-idempotent calls: routers that reach the table and the services through
//! fault-injecting proxies, services that record their runs, and a check of responses against
//! that record.

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

/// A request to the plain service.
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

    /// Returns the call with a deadline.
    pub fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }

    /// The HTTP request as sent.
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

/// Contradictions between responses and the runs that the services recorded; all must be zero.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Violations {
    /// Keys that ran more than once.
    pub duplicate_runs: usize,
    /// Requests with response `not_run` that ran, and keys that ran although all their responses
    /// were `not_run`.
    pub false_not_run: usize,
    /// Requests with response `ran` whose key and body were not run.
    pub false_ran: usize,
    /// Complete responses with state `ran` that are not the untruncated response of the run of
    /// their own key and body.
    pub wrong_responses: usize,
}

/// Compares responses with the recorded runs.
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
        let runs_of_key = by_key.get(key).map_or(&[][..], Vec::as_slice);
        let is_not_run = response.header("x-run-state") == Some("not_run");
        *is_only_not_run.entry(key).or_insert(true) &= is_not_run;
        if is_not_run {
            let prefix = format!("{}-", response.header("x-request-id").unwrap_or("none"));
            let did_run = runs.iter().any(|run| run.attempt.starts_with(&prefix));
            found.false_not_run += usize::from(did_run);
        }
        if response.header("x-run-state") == Some("ran") {
            let run = runs_of_key.iter().find(|run| run.body == call.body);
            found.false_ran += usize::from(run.is_none());
            let is_expected = run.is_some_and(|run| is_response_of(response, run));
            found.wrong_responses += usize::from(response.is_complete() && !is_expected);
        }
    }
    let keys = is_only_not_run.iter().filter(|(_, only)| **only);
    found.false_not_run += keys.filter(|(key, _)| by_key.contains_key(*key)).count();
    found
}

/// Whether the body is the untruncated response of this run.
fn is_response_of(response: &Response, run: &Run) -> bool {
    let value: serde_json::Value = serde_json::from_str(&response.body).unwrap_or_default();
    value["attempt"] == run.attempt.as_str()
        && value["echo"] == run.body.as_str()
        && value["end"] == "---end---"
}

/// Returns port 0 of a loopback address that no other listener uses, so that a closed port is not
/// opened again by another listener.
fn exclusive_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    SocketAddr::from(([127, 77, high, low], 0))
}

/// Routers, platform and plain services; the table and each service are reached through a proxy.
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
    /// Starts everything and waits until the inventory is in force on all routers.
    pub fn open(routers: usize, services: usize) -> Self {
        Self::open_with(routers, services, "")
    }

    /// Like [`Self::open`], with `extra` settings lines appended after section `[platform]`.
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

    /// Adds a server with a closed port to the inventory and waits until all routers know it.
    pub fn add_closed_server(&self) {
        // No test listens on this address, so the port stays closed.
        self.apply(
            "[server closed]\nservice = slots\naddress = 127.0.0.99:9\nzone = z1\nslots = 64\n",
        );
        for router in self.routers.iter().flatten() {
            wait_until("the router applies version 2", || {
                get(router.admin, "/dump").body.contains("\"version\":2")
            });
        }
    }

    /// Closes the port under which the routers know service `index`, as if the service had crashed.
    pub fn close_service_port(&mut self, index: usize) {
        let upstream = self.services[index].address();
        // The new proxy has another address, which is not in the inventory.
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

    /// Starts router `index` and waits until the inventory is in force there.
    pub fn spawn_router(&self, index: usize, extra: &str) -> RouterProcess {
        let table = self.table_proxy.address();
        let text = format!(
            "[router]\nname = r{index}\nzone = z1\nregion = g1\nthreads = 2\n\
             listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\ntable = {table}\nobjects = {}\nhosts = {table}\npoll_ms = 100\n{extra}",
            self.objects.address(),
        );
        let router = RouterProcess::spawn(&self.temp_dir.write(&format!("r{index}.ini"), &text));
        wait_until("the router applies version 1", || {
            get(router.admin, "/dump").body.contains("\"version\":1")
        });
        router
    }

    /// Process of router `index`; panics if it was killed.
    pub fn router(&self, index: usize) -> &RouterProcess {
        self.routers[index].as_ref().expect("the router runs")
    }

    /// Address on which router `index` accepts calls.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.router(index).address
    }

    /// Kills router `index` without a planned stop.
    pub fn kill_router(&mut self, index: usize) {
        self.routers[index] = None;
    }

    /// Sends a call through router `index`.
    pub fn send(&self, index: usize, call: &Call) -> Response {
        exchange(self.address(index), &call.bytes())
    }

    /// Runs recorded by all services.
    pub fn runs(&self) -> Vec<Run> {
        self.services.iter().flat_map(Service::runs).collect()
    }

    /// Number of calls that reached a service, whether they ran or not.
    pub fn received(&self) -> u64 {
        self.services.iter().map(Service::received).sum()
    }

    /// Removes injected faults that have not been triggered.
    pub fn clear_faults(&self) {
        for service in &self.services {
            service.clear_faults();
        }
    }

    /// Waits until no router has a request in flight or an outcome to write.
    pub fn wait_until_settled(&self) {
        for router in self.routers.iter().flatten() {
            wait_until("the outcomes are written", || {
                let dump = get(router.admin, "/dump").body;
                dump.contains("\"claims_settling\":0") && dump.contains("\"requests_in_flight\":0")
            });
        }
    }

    /// Panics unless all responses agree with the recorded runs.
    pub fn assert_no_violations(&self, responses: &[(&Call, &Response)]) {
        let found = violations(&self.runs(), responses.iter().copied());
        assert_eq!(found, Violations::default(), "{responses:?}");
    }
}
