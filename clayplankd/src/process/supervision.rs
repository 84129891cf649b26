//! Tasks that a host needs as long as it runs: the process ends when one of them panics, so that the
//! platform starts it again. Without that it would run on, and be taken for sound, without the task.

use std::future::Future;

use tokio::sync::mpsc;
use xtra::{Actor, Address, Mailbox};

use crate::process::daemon::StartError;
use crate::process::logging::log_target;

/// Capacity of an actor's mailbox; senders wait while it is full.
const MAILBOX_CAPACITY: usize = 4_096;

/// Spawns the tasks of a host and reports the first panic among them.
#[derive(Clone, Debug)]
pub(crate) struct Supervisor {
    failed: mpsc::Sender<StartError>,
}

impl Supervisor {
    /// Creates a supervisor, and the receiver of the failure that ends the process.
    pub(crate) fn new() -> (Self, mpsc::Receiver<StartError>) {
        let (failed, receiver) = mpsc::channel(1);
        (Self { failed }, receiver)
    }

    /// Ends the process, unless it is ending for another reason already.
    pub(crate) fn fail(&self, error: StartError) {
        self.failed.try_send(error).ok();
    }

    /// Spawns a task that is not to panic. One that returns has ended as planned.
    pub(crate) fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let supervisor = self.clone();
        let task = tokio::spawn(task);
        tokio::spawn(async move {
            if let Err(error) = task.await
                && error.is_panic()
            {
                log::error!(target: log_target::DAEMON, task = name, cause:% = error;
                    "A task panicked; the process ends");
                supervisor.fail(StartError::Panicked(name));
            }
        });
    }

    /// Spawns an actor that is not to panic.
    pub(crate) fn spawn_actor<A: Actor<Stop = ()>>(
        &self,
        name: &'static str,
        actor: A,
    ) -> Address<A> {
        let (address, mailbox) = Mailbox::bounded(MAILBOX_CAPACITY);
        self.spawn(name, xtra::run(mailbox, actor));
        address
    }
}
