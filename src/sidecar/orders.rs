//! Placement orders to the engine, serialized and fenced against stale owners.

use crate::coordination::fence::FenceDecision;
use crate::ids::{Epoch, Partition};
use crate::protocol::engine::{Engine, EngineOrder};
use crate::protocol::link::Reply;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::Service;
use crate::sidecar::{Endpoint, Sidecar, lock};

/// Partition whose owner sends placement orders.
const ORDERING_PARTITION: Partition = 0;

impl<E: Engine, S: Service> Sidecar<E, S> {
    /// Forwards an order to the engine unless it is stale or repeated.
    ///
    /// The sidecar checks this itself, because not every engine does. The order runs to its end
    /// even if the requester's link breaks, so that no later order overtakes it.
    pub(crate) async fn order(&self, order: EngineOrder, epoch: Epoch, sequence: u64) -> Reply {
        let sidecar = self.clone();
        let (reply_sender, reply_receiver) = async_channel::bounded(1);
        self.0.spawner.spawn(async move {
            let reply = sidecar.submit_order(order, epoch, sequence).await;
            let _ = reply_sender.send(reply).await;
        });
        match reply_receiver.recv().await {
            Ok(reply) => reply,
            Err(_) => Reply::Refused(Refusal::unknown(
                RefusalCode::ShuttingDown,
                "The sidecar stops.",
            )),
        }
    }

    async fn submit_order(&self, order: EngineOrder, epoch: Epoch, sequence: u64) -> Reply {
        let Endpoint::Engine(engine) = &self.0.endpoint else {
            let message = "The endpoint is no engine.";
            return Reply::Refused(Refusal::not_run(RefusalCode::NoEndpoint, message));
        };
        let mut fence = self.0.order_fence.lock().await;
        let highest_epoch = lock(&self.0.fences).get(&ORDERING_PARTITION).copied();
        fence.observe_epoch(highest_epoch.unwrap_or_default());
        match fence.admit(epoch, sequence) {
            FenceDecision::Old { epoch } => {
                let message = format!("An order of epoch {epoch} came first.");
                return Reply::Refused(Refusal::not_run(RefusalCode::NoOwner, message));
            }
            FenceDecision::Repeated => return Reply::Done,
            FenceDecision::New => {}
        }
        match engine.order(order, epoch).await {
            Ok(()) => Reply::Done,
            Err(e) => Reply::Refused(Refusal::unknown(RefusalCode::EndpointFailed, e.to_string())),
        }
    }
}
