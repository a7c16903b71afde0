//! Operator queries about programs and actions.
//!
//! They are sent to all entries, because each entry knows only its own partitions.

use crate::entry::{Entry, lock};
use crate::ids::{NodeId, format_id, issued_ms, parse_id};
use crate::protocol::image::{Action, Program};
use crate::protocol::link::{Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::message::Usage;
use crate::protocol::operator::{
    ActionSummary, OperatorQuery, OperatorReply, PartialList, ProgramSummary, ResolveRequest,
};
use crate::protocol::record::{ActionResult, Outcome};
use crate::protocol::service::ServiceReply;
use crate::protocol::vms::NodeRole;
use futures_lite::FutureExt;
use smol::Timer;
use std::time::{Duration, Instant};

/// Maximum wait for another entry's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP status of an action's answer that an operator has entered.
const OPERATOR_ANSWER_STATUS: u16 = 200;

impl<L: Log> Entry<L> {
    /// Executes an operator query on this node.
    pub(in crate::entry) async fn answer_query(&self, query: OperatorQuery) -> OperatorReply {
        match query {
            OperatorQuery::Programs => {
                OperatorReply::Programs(self.map_own_programs(program_summary))
            }
            OperatorQuery::Actions => {
                let actions = self.map_own_programs(action_summaries);
                OperatorReply::Actions(actions.into_iter().flatten().collect())
            }
            OperatorQuery::Resolve {
                program,
                call,
                resolved_by,
                ran,
                answer,
            } => {
                let result = if ran {
                    ActionResult::Done(ServiceReply {
                        status: OPERATOR_ANSWER_STATUS,
                        body: answer,
                    })
                } else {
                    ActionResult::NotRun(answer)
                };
                self.resolve_local(&program, &call, result, resolved_by)
                    .await
            }
            OperatorQuery::Drain => {
                self.leave();
                OperatorReply::Done
            }
        }
    }

    pub(super) async fn list_programs(&self) -> PartialList<ProgramSummary> {
        let (replies, silent) = self.query_entries(&OperatorQuery::Programs).await;
        let lists = replies.into_iter().filter_map(|reply| match reply {
            OperatorReply::Programs(programs) => Some(programs),
            _ => None,
        });
        let items = lists.flatten().collect();
        PartialList { items, silent }
    }

    pub(super) async fn list_actions(&self) -> PartialList<ActionSummary> {
        let (replies, silent) = self.query_entries(&OperatorQuery::Actions).await;
        let lists = replies.into_iter().filter_map(|reply| match reply {
            OperatorReply::Actions(actions) => Some(actions),
            _ => None,
        });
        let items = lists.flatten().collect();
        PartialList { items, silent }
    }

    /// Resolves an unknown action at its owner. The log records the operator and the reason.
    pub(super) async fn resolve(
        &self,
        operator: &str,
        call: &str,
        request: ResolveRequest,
    ) -> OperatorReply {
        let listed = self.list_actions().await;
        let Some(action) = listed.items.into_iter().find(|action| action.call == call) else {
            return OperatorReply::Refused(format!("no owner that answers knows the call {call}"));
        };
        let query = OperatorQuery::Resolve {
            program: action.program,
            call: call.to_string(),
            resolved_by: format!("{operator}: {}", request.reason),
            ran: request.ran,
            answer: request.answer,
        };
        let (replies, _) = self.query_entries(&query).await;
        if replies.contains(&OperatorReply::Done) {
            let call = call.to_string();
            let operator = operator.to_string();
            let kind = crate::protocol::operations::EventKind::ActionResolved { call, operator };
            self.operations().record_event(kind);
            return OperatorReply::Done;
        }
        let mut refusals = replies
            .into_iter()
            .filter(|reply| matches!(reply, OperatorReply::Refused(_)));
        refusals
            .next_back()
            .unwrap_or_else(|| OperatorReply::Refused("no owner answers".to_string()))
    }

    /// Drains a node, so that it accepts no new work.
    pub(super) async fn drain(&self, node: &str) -> OperatorReply {
        if node == self.0.config.node {
            return self.answer_query(OperatorQuery::Drain).await;
        }
        match self.query_entry(node, &OperatorQuery::Drain).await {
            Some(reply) => reply,
            None => OperatorReply::Refused(format!("{node} does not answer")),
        }
    }

    /// Queries every live entry, including this one.
    ///
    /// Returns the replies and the nodes that did not reply in time.
    async fn query_entries(&self, query: &OperatorQuery) -> (Vec<OperatorReply>, Vec<NodeId>) {
        let entries = lock(&self.0.membership).candidates(Instant::now(), NodeRole::Entry);
        let mut replies = vec![self.answer_query(query.clone()).await];
        let mut silent = Vec::new();
        let requests: Vec<_> = entries
            .into_iter()
            .filter_map(|node| {
                let (entry, query, name) = (self.clone(), query.clone(), node.clone());
                let ask = async move { entry.query_entry(&name, &query).await };
                Some((node, self.0.spawner.spawn_task(ask)?))
            })
            .collect();
        for (node, task) in requests {
            match task.await {
                Some(reply) => replies.push(reply),
                None => silent.push(node),
            }
        }
        (replies, silent)
    }

    async fn query_entry(&self, node: &str, query: &OperatorQuery) -> Option<OperatorReply> {
        let timeout = async {
            Timer::after(REPLY_TIMEOUT).await;
            None
        };
        let ask = async {
            self.0
                .links
                .ask(node, Request::Operate(query.clone()))
                .await
                .ok()
        };
        match ask.or(timeout).await? {
            Reply::Operated(reply) => Some(reply),
            _ => None,
        }
    }

    fn map_own_programs<T>(&self, summary: impl Fn(&Program) -> T) -> Vec<T> {
        let owned = self
            .0
            .partitions
            .iter()
            .filter(|handle| handle.epoch().is_some());
        owned
            .flat_map(|handle| {
                handle.with_state(|state| state.programs().map(&summary).collect::<Vec<_>>())
            })
            .collect()
    }

    async fn resolve_local(
        &self,
        program: &str,
        call: &str,
        result: ActionResult,
        resolved_by: String,
    ) -> OperatorReply {
        let (Some(program), Some(call)) = (parse_id(program), parse_id(call)) else {
            return OperatorReply::Refused("an id has 32 hexadecimal digits".to_string());
        };
        let handle = self.partition(program);
        if handle.epoch().is_none() {
            return OperatorReply::Refused("this entry does not own the partition".to_string());
        }
        let unknown = handle.with_state(|state| {
            let action = state.program(program)?.action(call)?;
            Some(action.state.is_unknown())
        });
        if unknown != Some(true) {
            return OperatorReply::Refused("the action is not unknown".to_string());
        }
        let outcome = Outcome {
            program,
            call,
            result,
            spent: Usage::default(),
            resolved_by: Some(resolved_by),
        };
        match handle.commit(vec![outcome.into()]).await {
            Ok(_) => OperatorReply::Done,
            Err(error) => OperatorReply::Refused(format!("not written: {error}")),
        }
    }
}

fn program_summary(program: &Program) -> ProgramSummary {
    ProgramSummary {
        program: format_id(program.program),
        environment: program.environment.clone(),
        client_account: program.client_account.clone(),
        begun_ms: issued_ms(program.program),
        turns: program
            .branches
            .iter()
            .map(|branch| branch.turns.len())
            .sum(),
        spent: program.spent,
        budget: program.budget,
        ended: program.ended.map(|end| end.reason.to_string()),
    }
}

fn action_summaries(program: &Program) -> Vec<ActionSummary> {
    let actions = program.actions.iter();
    actions
        .map(|action| action_summary(program, action))
        .collect()
}

fn action_summary(program: &Program, action: &Action) -> ActionSummary {
    ActionSummary {
        call: format_id(action.call),
        program: format_id(program.program),
        environment: program.environment.clone(),
        client_account: program.client_account.clone(),
        service: action.service.clone(),
        endpoint: action.endpoint.clone(),
        state: action.state.to_string(),
    }
}
