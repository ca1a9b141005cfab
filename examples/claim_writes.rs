//! Table transactions for each claim, with group commit and without, and the claims in a
//! second that a rate-limited table then allows.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use futures_util::future::join_all;
use jujubeusher::control::commit::{CommitResult, GROUP_MAX, GroupCommit};
use jujubeusher::edge::table::{Condition, HttpTable, Table, TableError, Write};
use jujubeusher::runtime::Runtime;
use jujubeusher_standins::table::{Table as TableServer, TableFaults};

/// Measures the table's transactions for each claim.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Claims of each measurement.
    #[bpaf(long, argument("N"), fallback(2_000))]
    claims: usize,
    /// Claims that are asked for at once.
    #[bpaf(long, argument("N"), fallback(64))]
    concurrency: usize,
    /// Transactions in a second that the limited table takes.
    #[bpaf(long, argument("N"), fallback(400))]
    limit_per_s: u32,
    /// Time that the table takes for an answer in ms.
    #[bpaf(long, argument("N"), fallback(2))]
    answer_ms: u64,
}

/// Way of a claim into the table.
#[derive(Clone)]
enum Way {
    Grouped(GroupCommit),
    Alone(Arc<HttpTable>),
}

impl Way {
    /// Whether the claim was written; a claim over the limit was not.
    async fn write(&self, write: Write) -> bool {
        match self {
            Self::Grouped(commit) => matches!(commit.submit(write).await, CommitResult::Written(_)),
            Self::Alone(table) => match table.transact(vec![write]).await {
                Ok(_) => true,
                Err(TableError::Unavailable(_)) => false,
                Err(error) => panic!("{error}"),
            },
        }
    }
}

const TABLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a claim that the table refused over its limit.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

async fn write_all(options: Options, way: Way) {
    let next = Arc::new(AtomicUsize::new(0));
    let worker = || async {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            if index >= options.claims {
                return;
            }
            let write = Write {
                key: format!("claim/t/s/{index}"),
                value: "x".repeat(200),
                condition: Condition::Absent,
            };
            while !way.write(write.clone()).await {
                smol::Timer::after(REFUSED_PAUSE).await;
            }
        }
    };
    join_all((0..options.concurrency).map(|_| worker())).await;
}

/// Claims in a second and transactions sent for each claim.
fn measure(options: &Options, is_grouped: bool, limit_per_s: Option<u32>) -> (f64, f64) {
    let server = TableServer::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("it binds");
    server.set_faults(TableFaults {
        rate_limit_per_s: limit_per_s,
        response_delay: Duration::from_millis(options.answer_ms),
        ..TableFaults::default()
    });
    let runtime = Runtime::start(2);
    let table = HttpTable::open(server.address(), TABLE_TIMEOUT);
    let way = match is_grouped {
        true => Way::Grouped(GroupCommit::spawn(&runtime, table, GROUP_MAX)),
        false => Way::Alone(table),
    };
    let start = Instant::now();
    smol::block_on(runtime.spawn(write_all(options.clone(), way)));
    let elapsed_s = start.elapsed().as_secs_f64();
    let counts = server.counts();
    assert_eq!(counts.rows_written as usize, options.claims);
    let sent = (counts.committed + counts.rate_limited) as f64;
    (
        options.claims as f64 / elapsed_s,
        sent / options.claims as f64,
    )
}

fn main() -> ExitCode {
    let options = options().run();
    println!(
        "claims={} concurrency={} table answer={} ms",
        options.claims, options.concurrency, options.answer_ms
    );
    for limit_per_s in [None, Some(options.limit_per_s)] {
        let name = limit_per_s.map_or("no limit".to_owned(), |l| format!("limit {l}/s"));
        let (alone_rate, alone_sent) = measure(&options, false, limit_per_s);
        let (grouped_rate, grouped_sent) = measure(&options, true, limit_per_s);
        println!(
            "{name}: transactions per claim alone={alone_sent:.3} grouped={grouped_sent:.3} \
             ratio={:.1}; claims per s alone={alone_rate:.0} grouped={grouped_rate:.0} \
             ratio={:.2}",
            alone_sent / grouped_sent,
            grouped_rate / alone_rate,
        );
    }
    ExitCode::SUCCESS
}
