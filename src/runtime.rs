//! Worker threads that run all tasks of a process, the process-wide shutdown and the limit on
//! open files.

use std::cell::Cell;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::{Executor, Task};

type Workers = Arc<[Arc<Executor<'static>>]>;

thread_local! {
    /// Address that identifies the workers of this thread's runtime, and the thread's index among
    /// them.
    static WORKER: Cell<Option<(usize, usize)>> = const { Cell::new(None) };
}

/// Size from which the allocator takes memory from the system for a block alone, and returns it when
/// the block is freed. glibc starts with 128 KiB, but raises that to up to 32 MB with the size of
/// freed blocks. Memory of a freed body stays resident if it is taken from the heap and a small block
/// lies behind it: 529 MB after three waves of 80 bodies of 4 MiB. Buffers of connections are smaller
/// than this value, so that they cost no system calls.
#[cfg(target_env = "gnu")]
const SEPARATE_BLOCK_BYTES: libc::c_int = 48 * 1024;

/// Makes the allocator return the memory of large bodies to the system. Call it once at the start of
/// the process.
pub fn return_freed_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: mallopt only sets a parameter of the allocator.
    let is_set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, SEPARATE_BLOCK_BYTES) } == 1;
    #[cfg(target_env = "gnu")]
    if !is_set {
        log::warn!("event=allocator_not_set parameter=mmap_threshold");
    }
}

/// Handle on a fixed set of worker threads, each with its own executor.
///
/// A task stays on its worker, and so do the tasks that it spawns. The caller's connection, the
/// request and the backend server's connection therefore wake each other without a context
/// switch between threads, which would cost most of the CPU time of a streamed event.
#[derive(Debug, Clone)]
pub struct Runtime {
    workers: Workers,
    next: Arc<AtomicUsize>,
    _stop: Sender<()>,
}

impl Runtime {
    /// Starts `threads` worker threads, at least one. They end when the last handle is dropped.
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
                    // This `block_on`, unlike `smol::block_on`, leaves polling for sockets and
                    // timers to the one thread of async-io, so that workers do not contend for
                    // the reactor.
                    let _ = smol::future::block_on(executor.run(stopped.recv()));
                })
                .expect("failed to spawn a worker thread at start-up");
        }
        Self {
            workers,
            next: Arc::new(AtomicUsize::new(0)),
            _stop: stop,
        }
    }

    /// Creates a runtime whose tasks all run in the thread that calls [`Runtime::block_on`]. That
    /// thread also polls sockets and timers, so that no event costs a context switch between
    /// threads.
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

    /// Runs a future and the tasks of the first worker on the calling thread until the future
    /// completes.
    pub fn block_on<F>(&self, future: F) -> F::Output
    where
        F: Future,
    {
        WORKER.set(Some((identity(&self.workers), 0)));
        smol::block_on(self.workers[0].run(future))
    }

    /// Index of the worker that runs the calling task; `None` outside the workers of this runtime.
    pub fn current_worker(&self) -> Option<usize> {
        let (workers, index) = WORKER.get()?;
        (workers == identity(&self.workers)).then_some(index)
    }

    /// Executor of the calling task's worker, or of the next worker in round-robin order when
    /// called from another thread.
    fn current_or_next_worker(&self) -> &Executor<'static> {
        match self.current_worker() {
            Some(index) => &self.workers[index],
            None => self.next_worker(),
        }
    }

    fn next_worker(&self) -> &Executor<'static> {
        &self.workers[self.next.fetch_add(1, Ordering::Relaxed) % self.workers.len()]
    }

    /// Spawns a future on the caller's worker. The task is cancelled when its handle is dropped.
    pub fn spawn<F>(&self, future: F) -> Task<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.current_or_next_worker().spawn(future)
    }

    /// Spawns a future on the caller's worker and runs it to completion without a handle. A panic
    /// ends only this task.
    ///
    /// ```
    /// use jujubeusher::runtime::Runtime;
    /// let runtime = Runtime::single_threaded();
    /// runtime.spawn_detached(async { panic!("ends only this task") });
    /// let task = runtime.spawn(async { 7 });
    /// assert_eq!(runtime.block_on(task), 7);
    /// ```
    pub fn spawn_detached<F>(&self, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let future = catch_panic(future);
        self.current_or_next_worker().spawn(future).detach();
    }

    /// Spawns a task that lasts as long as the process, and starts it again after a panic, so that
    /// one malformed input does not end the watch of a table or the listener.
    pub fn spawn_supervised<M, F>(&self, make: M)
    where
        M: Fn() -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        self.spawn_detached(async move {
            while !catch_panic(make()).await {
                smol::Timer::after(RESTART_PAUSE).await;
            }
        });
    }

    /// Spawns a future on the next worker in round-robin order and runs it to completion, for
    /// work that is independent of the caller's, such as a new connection.
    pub fn spawn_detached_round_robin<F>(&self, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.next_worker().spawn(catch_panic(future)).detach();
    }
}

/// Pause before a task that panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Runs a task and returns whether it completed; a panic is logged. The executor would otherwise
/// pass the panic on to its thread, and so end the process and all its requests.
async fn catch_panic<F>(future: F) -> bool
where
    F: Future<Output = ()>,
{
    let caught = AssertUnwindSafe(future).catch_unwind().await;
    if let Err(panic) = &caught {
        let text = panic.downcast_ref::<&str>().copied();
        let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
        log::error!(
            "event=task_panicked problem=\"{}\"",
            text.unwrap_or("unknown")
        );
    }
    caught.is_ok()
}

/// Address that distinguishes the workers of one runtime from those of another.
fn identity(workers: &Workers) -> usize {
    Arc::as_ptr(workers).cast::<()>() as usize
}

/// Runs a future with a time limit. Returns `None` if the limit expires first.
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

/// One-time signal to any number of tasks that they must stop. Clones share the same state.
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
    /// Creates a shutdown that is not triggered.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Triggers the shutdown; later calls have no effect.
    pub fn trigger(&self) {
        self.sender.close();
    }

    /// Whether the shutdown was triggered.
    pub fn is_triggered(&self) -> bool {
        self.sender.is_closed()
    }

    /// Completes when the shutdown is triggered.
    pub async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

/// Raises the soft limit on open files of this process to the hard limit and returns the limit in
/// force, or `None` if it is unlimited. Common defaults are too low for a process with thousands of
/// open connections.
pub fn raise_open_file_limit() -> Option<u64> {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let maximum = getrlimit(Resource::Nofile).maximum;
    let raised = Rlimit {
        current: maximum,
        maximum,
    };
    // If the system refuses, the previous limit stays in force.
    let _ = setrlimit(Resource::Nofile, raised);
    getrlimit(Resource::Nofile).current
}
