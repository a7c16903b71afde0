//! The executor of one daemon. Each daemon has its own, so that all its tasks end together.

use smol::{Executor, Task};
use std::future::Future;
use std::sync::{Arc, Weak};
use std::thread;

/// Runs a daemon's tasks on its own threads. Dropping it drops all tasks immediately.
pub(crate) struct Runtime {
    executor: Arc<Executor<'static>>,
    stop_tx: Option<async_channel::Sender<()>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Runtime {
    /// Starts `threads` threads, at least one, all called `name`.
    pub(crate) fn start(name: &str, threads: usize) -> std::io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (stop_tx, stop_rx) = async_channel::bounded::<()>(1);
        let mut handles = Vec::with_capacity(threads);
        for _ in 0..threads.max(1) {
            let executor = executor.clone();
            let stop_rx = stop_rx.clone();
            let run = move || {
                smol::block_on(executor.run(async {
                    let _ = stop_rx.recv().await;
                }));
            };
            handles.push(thread::Builder::new().name(name.to_string()).spawn(run)?);
        }
        Ok(Self {
            executor,
            stop_tx: Some(stop_tx),
            threads: handles,
        })
    }

    /// Returns a handle that spawns tasks until the runtime is dropped.
    pub(crate) fn spawner(&self) -> Spawner {
        Spawner(Arc::downgrade(&self.executor))
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        drop(self.stop_tx.take());
        for handle in self.threads.drain(..) {
            // The panic hook has already reported a panicked task.
            let _ = handle.join();
        }
    }
}

/// Spawns tasks on a [`Runtime`] without keeping it alive.
#[derive(Clone)]
pub(crate) struct Spawner(Weak<Executor<'static>>);

impl Spawner {
    /// Runs a future to completion or until the runtime is dropped. Does nothing if the runtime has
    /// been dropped.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(future).detach();
        }
    }

    /// Runs a future and returns a task that resolves to its result; `None` if the runtime has been
    /// dropped.
    pub(crate) fn spawn_task<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Option<Task<T>> {
        Some(self.0.upgrade()?.spawn(future))
    }
}
