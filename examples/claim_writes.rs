//! Measures table transactions per claim and claims per second, with and without group commit,
//! on a table without a limit and on a rate-limited one.

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

/// Measures table transactions per claim and claims per second, with and without group commit.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of claims in each measurement.
    #[bpaf(long, argument("N"), fallback(2_000))]
    claims: usize,
    /// Number of claims requested concurrently.
    #[bpaf(long, argument("N"), fallback(64))]
    concurrency: usize,
    /// Transactions per second that the rate-limited table accepts.
    #[bpaf(long, argument("N"), fallback(400))]
    limit_per_s: u32,
    /// Response delay of the table, in ms.
    #[bpaf(long, argument("N"), fallback(2))]
    answer_ms: u64,
}

/// How claims are written to the table.
#[derive(Clone)]
enum ClaimWriter {
    /// Several claims in one transaction.
    Grouped(GroupCommit),
    /// One transaction for each claim.
    Single(Arc<HttpTable>),
}

impl ClaimWriter {
    /// Returns whether the claim was written; the table refuses those over its rate limit.
    async fn write(&self, write: Write) -> bool {
        match self {
            Self::Grouped(commit) => matches!(commit.submit(write).await, CommitResult::Written(_)),
            Self::Single(table) => match table.transact(vec![write]).await {
                Ok(_) => true,
                Err(TableError::Unavailable(_)) => false,
                Err(error) => panic!("{error}"),
            },
        }
    }
}

const TABLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a claim that the rate limit refused is sent again.
const RATE_LIMIT_PAUSE: Duration = Duration::from_millis(20);

async fn write_claims(options: Options, writer: ClaimWriter) {
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
            while !writer.write(write.clone()).await {
                smol::Timer::after(RATE_LIMIT_PAUSE).await;
            }
        }
    };
    join_all((0..options.concurrency).map(|_| worker())).await;
}

/// Returns the claims per second and the transactions sent per claim, refused ones included.
fn measure(options: &Options, is_grouped: bool, limit_per_s: Option<u32>) -> (f64, f64) {
    let server = TableServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("the table binds a loopback port");
    server.set_faults(TableFaults {
        rate_limit_per_s: limit_per_s,
        response_delay: Duration::from_millis(options.answer_ms),
        ..TableFaults::default()
    });
    let runtime = Runtime::start(2);
    let table = HttpTable::new(server.address(), TABLE_TIMEOUT);
    let writer = match is_grouped {
        true => ClaimWriter::Grouped(GroupCommit::spawn(&runtime, table, GROUP_MAX)),
        false => ClaimWriter::Single(table),
    };
    let start = Instant::now();
    smol::block_on(runtime.spawn(write_claims(options.clone(), writer)));
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
        let limit_name = limit_per_s.map_or("no limit".to_owned(), |l| format!("limit {l}/s"));
        let (alone_rate, alone_sent) = measure(&options, false, limit_per_s);
        let (grouped_rate, grouped_sent) = measure(&options, true, limit_per_s);
        println!(
            "{limit_name}: transactions per claim alone={alone_sent:.3} grouped={grouped_sent:.3} \
             ratio={:.1}; claims per s alone={alone_rate:.0} grouped={grouped_rate:.0} \
             ratio={:.2}",
            alone_sent / grouped_sent,
            grouped_rate / alone_rate,
        );
    }
    ExitCode::SUCCESS
}
