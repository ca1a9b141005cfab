//! The threads that run all tasks of a process.

use std::cell::Cell;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::{Executor, Task};

type Workers = Arc<[Arc<Executor<'static>>]>;

thread_local! {
    /// The workers that this thread belongs to, by address, and its index among them.
    static WORKER: Cell<Option<(usize, usize)>> = const { Cell::new(None) };
}

/// Handle on a fixed set of threads, each with an executor of its own.
///
/// A task stays on its worker, and so do the tasks that it starts: the caller's connection,
/// the request and the backend server's connection then wake each other without a switch of
/// threads, which had cost most of the CPU time of a streamed event.
#[derive(Debug, Clone)]
pub struct Runtime {
    workers: Workers,
    next: Arc<AtomicUsize>,
    _stop: Sender<()>,
}

impl Runtime {
    /// Starts `threads` threads; they end when the last handle is dropped.
    ///
    /// ```
    /// use jujubeusher::runtime::Runtime;
    /// let runtime = Runtime::start(1);
    /// assert_eq!(smol::block_on(runtime.spawn(async { 7 })), 7);
    /// ```
    pub fn start(threads: usize) -> Self {
        let workers: Workers = (0..threads.max(1)).map(|_| Arc::default()).collect();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        for (index, executor) in workers.iter().enumerate() {
            let executor = Arc::clone(executor);
            let identity = (identity(&workers), index);
            let stopped = stopped.clone();
            thread::Builder::new()
                .name(format!("worker-{index}"))
                .spawn(move || {
                    WORKER.set(Some(identity));
                    // A plain block_on leaves the waiting for sockets and timers to the one
                    // thread of async-io, so that workers do not contend for it.
                    let _ = smol::future::block_on(executor.run(stopped.recv()));
                })
                .expect("the system refuses a thread at start-up");
        }
        Self {
            workers,
            next: Arc::new(AtomicUsize::new(0)),
            _stop: stop,
        }
    }

    /// A runtime whose tasks all run in the thread that calls [`Runtime::block_on`], which
    /// also waits for sockets and timers: no event then costs a switch of threads.
    ///
    /// ```
    /// use jujubeusher::runtime::Runtime;
    /// let runtime = Runtime::single_threaded();
    /// let task = runtime.spawn(async { 7 });
    /// assert_eq!(runtime.block_on(task), 7);
    /// ```
    pub fn single_threaded() -> Self {
        let (stop, _) = async_channel::bounded(1);
        Self {
            workers: Arc::new([Arc::default()]),
            next: Arc::new(AtomicUsize::new(0)),
            _stop: stop,
        }
    }

    /// Runs a future and the tasks of the first worker in the calling thread until the
    /// future ends.
    pub fn block_on<F>(&self, future: F) -> F::Output
    where
        F: Future,
    {
        WORKER.set(Some((identity(&self.workers), 0)));
        smol::block_on(self.workers[0].run(future))
    }

    /// Index of the worker that runs the calling task, if it is one of this runtime's.
    pub fn current_worker(&self) -> Option<usize> {
        let (workers, index) = WORKER.get()?;
        (workers == identity(&self.workers)).then_some(index)
    }

    /// The calling task's worker, or the next in turn for other threads.
    fn current_or_next_worker(&self) -> &Executor<'static> {
        match self.current_worker() {
            Some(index) => &self.workers[index],
            None => self.next_worker(),
        }
    }

    fn next_worker(&self) -> &Executor<'static> {
        &self.workers[self.next.fetch_add(1, Ordering::Relaxed) % self.workers.len()]
    }

    /// Runs a future beside its caller; the task is cancelled when its handle is dropped.
    pub fn spawn<F>(&self, future: F) -> Task<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.current_or_next_worker().spawn(future)
    }

    /// Runs a future beside its caller to its end, with no handle on it.
    pub fn spawn_detached<F>(&self, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.current_or_next_worker().spawn(future).detach();
    }

    /// Runs a future to its end on the next worker in turn, for work that is independent of
    /// its caller's, such as a new connection.
    pub fn spawn_detached_round_robin<F>(&self, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.next_worker().spawn(future).detach();
    }
}

/// Tells the workers of one runtime from those of another.
fn identity(workers: &Workers) -> usize {
    Arc::as_ptr(workers).cast::<()>() as usize
}

/// A future's result, or none once the time is over.
///
/// ```
/// use std::time::Duration;
/// use jujubeusher::runtime::with_timeout;
/// let limit = Duration::from_secs(60);
/// assert_eq!(smol::block_on(with_timeout(limit, async { 7 })), Some(7));
/// ```
pub async fn with_timeout<F>(limit: Duration, future: F) -> Option<F::Output>
where
    F: Future,
{
    async { Some(future.await) }
        .or(async {
            smol::Timer::after(limit).await;
            None
        })
        .await
}

/// Tells any number of tasks, once, that the process stops.
#[derive(Debug, Clone)]
pub struct Shutdown {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

impl Shutdown {
    /// A shutdown that has not been asked for.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Asks for the shutdown; later calls change nothing.
    pub fn trigger(&self) {
        self.sender.close();
    }

    /// Whether the shutdown was asked for.
    pub fn is_triggered(&self) -> bool {
        self.sender.is_closed()
    }

    /// Ends when the shutdown is asked for.
    pub async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

/// Raises this process's limit on open files to the most that the system allows, and returns
/// it; usual defaults are too low for a process that holds thousands of connections.
pub fn raise_open_file_limit() -> Option<u64> {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let maximum = getrlimit(Resource::Nofile).maximum;
    let raised = Rlimit {
        current: maximum,
        maximum,
    };
    // The old limit stays in force where the system refuses.
    let _ = setrlimit(Resource::Nofile, raised);
    getrlimit(Resource::Nofile).current
}
