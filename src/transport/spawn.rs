//! The executor of one daemon, so that a daemon's tasks end together.

use smol::{Executor, Task};
use std::future::Future;
use std::sync::{Arc, Weak};
use std::thread;

/// Runs a daemon's tasks on its own threads; dropping it drops every task at once.
pub(crate) struct Runtime {
    executor: Arc<Executor<'static>>,
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Runtime {
    /// Starts `threads` threads, named after the daemon.
    pub(crate) fn start(name: &str, threads: usize) -> std::io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let mut handles = Vec::with_capacity(threads);
        for _ in 0..threads.max(1) {
            let executor = executor.clone();
            let stopped = stopped.clone();
            let run = move || {
                smol::block_on(executor.run(async {
                    let _ = stopped.recv().await;
                }));
            };
            handles.push(thread::Builder::new().name(name.to_string()).spawn(run)?);
        }
        Ok(Self {
            executor,
            stop: Some(stop),
            threads: handles,
        })
    }

    /// Returns a handle that spawns onto this runtime while it lives.
    pub(crate) fn spawner(&self) -> Spawner {
        Spawner(Arc::downgrade(&self.executor))
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        drop(self.stop.take());
        for handle in self.threads.drain(..) {
            // A panic of a task has been reported by the panic hook already.
            let _ = handle.join();
        }
    }
}

/// Spawns tasks on a [`Runtime`] without keeping it alive.
#[derive(Clone)]
pub(crate) struct Spawner(Weak<Executor<'static>>);

impl Spawner {
    /// Runs a future to its end, or until the runtime is dropped.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(future).detach();
        }
    }

    /// Runs a future whose result is wanted; `None` if the runtime is dropped already.
    pub(crate) fn spawn_task<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Option<Task<T>> {
        Some(self.0.upgrade()?.spawn(future))
    }
}
