//! Operator requests that list and change environments.

use super::promotion::Evidence;
use crate::configuration::{ChangeOutcome, ChangeRequest};
use crate::entry::{Entry, lock};
use crate::protocol::configuration::{ChangeAction, EnvironmentImage, Promotion};
use crate::protocol::log::Log;
use crate::protocol::operator::{
    ApplyRequest, ChangeAnswer, EnvironmentSummary, PromoteRequest, RetireRequest,
};
use crate::protocol::vms::NodeRole;

impl<L: Log> Entry<L> {
    pub(super) fn list_environments(&self) -> Vec<EnvironmentSummary> {
        let current = self.0.operator_services.configurator.current();
        let environments = current.image().environments.iter();
        environments
            .map(|image| EnvironmentSummary {
                name: image.name.clone(),
                version: image.version,
                stage: image.stage,
                retired: image.retired,
                last_change: image.changes.last().cloned(),
            })
            .collect()
    }

    pub(super) fn show_environment(&self, name: &str) -> Option<EnvironmentImage> {
        let current = self.0.operator_services.configurator.current();
        current.environment_image(name).cloned()
    }

    pub(super) async fn apply(
        &self,
        operator: &str,
        name: &str,
        body: ApplyRequest,
    ) -> ChangeAnswer {
        let request = ChangeRequest {
            environment: name.to_string(),
            expects: body.expects,
            operator: operator.to_string(),
            key: body.key,
            action: ChangeAction::Apply {
                document: body.document,
            },
        };
        into_answer(self.submit_change(request).await, Vec::new())
    }

    pub(super) async fn retire(
        &self,
        operator: &str,
        name: &str,
        body: RetireRequest,
    ) -> ChangeAnswer {
        let request = ChangeRequest {
            environment: name.to_string(),
            expects: body.expects,
            operator: operator.to_string(),
            key: body.key,
            action: ChangeAction::Retire {
                reason: body.reason,
            },
        };
        into_answer(self.submit_change(request).await, Vec::new())
    }

    pub(super) async fn promote(
        &self,
        operator: &str,
        name: &str,
        body: PromoteRequest,
    ) -> ChangeAnswer {
        let evidence = self.evidence(name).await;
        if !evidence.is_sufficient() && body.override_reason.is_none() {
            return refuse_insufficient(&evidence);
        }
        let request = ChangeRequest {
            environment: name.to_string(),
            expects: body.expects,
            operator: operator.to_string(),
            key: body.key,
            action: ChangeAction::Promote(Promotion {
                evidence: evidence.lines(),
                override_reason: body.override_reason,
            }),
        };
        into_answer(self.submit_change(request).await, evidence.lines())
    }

    async fn submit_change(&self, request: ChangeRequest) -> ChangeOutcome {
        let is_entry = |node: &str| {
            let membership = lock(&self.0.membership);
            membership
                .node(node)
                .is_some_and(|node| node.role == NodeRole::Entry)
        };
        self.0
            .operator_services
            .configurator
            .change(request, is_entry)
            .await
    }
}

fn refuse_insufficient(evidence: &Evidence) -> ChangeAnswer {
    ChangeAnswer::Refused {
        reason: format!("not shown yet: {}", evidence.unmet.join("; ")),
        evidence: evidence.lines(),
    }
}

fn into_answer(outcome: ChangeOutcome, evidence: Vec<String>) -> ChangeAnswer {
    match outcome {
        ChangeOutcome::Accepted { accepted, holders } => ChangeAnswer::Accepted {
            change: accepted,
            holders,
            evidence,
        },
        ChangeOutcome::Lost {
            version,
            winner,
            difference,
        } => ChangeAnswer::Lost {
            version,
            winner,
            difference,
        },
        ChangeOutcome::Faulty(faults) => ChangeAnswer::Faulty {
            faults: faults.0.iter().map(ToString::to_string).collect(),
        },
        ChangeOutcome::Refused(reason) => ChangeAnswer::Refused { reason, evidence },
        ChangeOutcome::Unknown(reason) => ChangeAnswer::Unknown { reason },
    }
}
