//! A timeout for frequent waits that rarely reach it.

use std::future::Future;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use smol::Timer;

/// Limits consecutive short waits with a single timer.
///
/// A new timer for each wait would be added to and removed from the process-wide list of timers for
/// each event of each stream. This timer stays in the list with the deadline of an earlier wait. If
/// that deadline passes before the one of the current wait, the timer is set again.
#[derive(Debug)]
pub struct LazyTimer {
    timer: Timer,
    armed: Option<Instant>,
}

impl Default for LazyTimer {
    fn default() -> Self {
        Self {
            timer: Timer::never(),
            armed: None,
        }
    }
}

impl LazyTimer {
    /// Waits for `future` and returns its output, or `None` once `limit` has passed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jujubeusher::http::lazy_timer::LazyTimer;
    /// let mut timer = LazyTimer::default();
    /// let limit = Duration::from_millis(1);
    /// let never = std::future::pending::<()>();
    /// assert_eq!(smol::block_on(timer.with_timeout(limit, async { 7 })), Some(7));
    /// assert_eq!(smol::block_on(timer.with_timeout(limit, never)), None);
    /// ```
    pub async fn with_timeout<F>(&mut self, limit: Duration, future: F) -> Option<F::Output>
    where
        F: Future,
    {
        let mut future = std::pin::pin!(future);
        let mut deadline = None;
        std::future::poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            let deadline = *deadline.get_or_insert_with(|| Instant::now() + limit);
            loop {
                if self.armed.is_none_or(|armed| deadline < armed) {
                    self.timer.set_at(deadline);
                    self.armed = Some(deadline);
                }
                if Pin::new(&mut self.timer).poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.armed = None;
                if Instant::now() >= deadline {
                    return Poll::Ready(None);
                }
            }
        })
        .await
    }
}
