//! Runs one program as its caller and checks the answers.

use super::check::{self, ExpectedHistory, ExpectedTurn};
use super::plan::{Plan, Step};
use super::result::{ActionVerdict, ObservedAction, ProgramResult};
use crate::client::{CallError, Client, RetryDeadline, RetryOutcome};
use crate::ids::{BranchId, ProgramId, format_id};
use crate::protocol::caller::{BudgetRequest, CallRequest, ProgramRequest};
use crate::protocol::link::{Answer, Durability};
use crate::protocol::message::{Message, Role};
use crate::protocol::refusal::{Ran, RefusalCode};
use crate::standin::{expected_answer, expected_result};
use futures_util::future::join_all;
use smol::Timer;
use std::time::{Duration, Instant};

/// Options of a program run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Whether to check the content of answers. This requires that engines and services are stand-ins.
    pub check_answers: bool,
    /// When the program was due to start. Latency and deadline count from this time.
    pub intended_start: Instant,
}

impl RunOptions {
    /// Returns options that check all answers of a program that starts now.
    pub fn checked() -> Self {
        Self {
            check_answers: true,
            intended_start: Instant::now(),
        }
    }
}

/// Runs a program to its end and checks its answers and its history.
pub async fn run_program(client: &Client, plan: &Plan, options: RunOptions) -> ProgramResult {
    let mut result = ProgramResult::new(plan);
    let retry_deadline = RetryDeadline {
        deadline: options.intended_start + plan.deadline,
    };
    let request = ProgramRequest {
        key: Some(plan.key.clone()),
        deadline_ms: Some(plan.deadline.as_millis() as u64),
        budget: BudgetRequest {
            calls: plan.budget_calls,
            ..BudgetRequest::default()
        },
    };
    let created = client.create_with_retry(&request, retry_deadline).await;
    result.requests_sent += created.requests_sent;
    let program = match created.result {
        Ok(created) => created.program,
        Err(error) => {
            result.failure = Some(format!("the program was not created: {error}"));
            return result;
        }
    };
    result.program = Some(program);
    let run = ProgramRun {
        client,
        plan,
        options,
        retry_deadline,
        program,
    };
    let mut expected = run.run_steps(&mut result).await;
    result.latency = options.intended_start.elapsed();
    run.verify_history(&mut expected, &mut result).await;
    let ended = client.end_with_retry(program, retry_deadline).await;
    if let (Err(error), None) = (ended.result, &result.failure) {
        result.failure = Some(format!("the program was not ended: {error}"));
    }
    result
}

/// A program in progress.
struct ProgramRun<'a> {
    client: &'a Client,
    plan: &'a Plan,
    options: RunOptions,
    retry_deadline: RetryDeadline,
    program: ProgramId,
}

impl ProgramRun<'_> {
    /// Runs all steps and returns the turns that were answered.
    async fn run_steps(&self, result: &mut ProgramResult) -> ExpectedHistory {
        let mut expected = ExpectedHistory::new();
        let mut main = BranchRun::new(self, 0);
        let mut next_branch = 1;
        for step in &self.plan.steps {
            if main.result.failure.is_some() {
                break;
            }
            let Step::Fork(branches) = step else {
                main.run_step(step).await;
                continue;
            };
            let runs = branches.iter().zip(next_branch..).map(async |(steps, id)| {
                let mut branch = BranchRun::new(self, id);
                branch.run_steps(steps).await;
                branch
            });
            next_branch += branches.len() as BranchId;
            for branch in join_all(runs).await {
                expected.insert(branch.id, branch.turns);
                main.result.merge(branch.result);
            }
        }
        expected.insert(0, main.turns);
        result.merge(main.result);
        expected.retain(|_, turns| !turns.is_empty());
        expected
    }

    /// Compares the program's history with the answered turns. If the program failed, the history may
    /// also contain a turn whose answer was lost.
    async fn verify_history(&self, expected: &mut ExpectedHistory, result: &mut ProgramResult) {
        let retry_deadline = RetryDeadline::after(HISTORY_TIMEOUT);
        let read = self
            .client
            .history_with_retry(self.program, retry_deadline)
            .await;
        match read.result {
            Ok(history) => {
                let mut history = history;
                if result.failure.is_some() {
                    remove_unconfirmed_turns(expected, &mut history);
                }
                let (checked, errors) = check::compare_histories(expected, &history);
                result.turns_checked = checked;
                let name = |error| format!("{}: {error}", self.plan.key);
                result.history_errors.extend(errors.into_iter().map(name));
            }
            Err(error) => {
                result
                    .failure
                    .get_or_insert(format!("the history was not read: {error}"));
            }
        }
    }
}

/// Time limit for reading the history, including retries.
const HISTORY_TIMEOUT: Duration = Duration::from_secs(30);

/// Removes from each branch the turn that follows the last answered one. The call of that turn was
/// not answered, so the history may or may not contain it.
fn remove_unconfirmed_turns(
    expected: &ExpectedHistory,
    history: &mut Vec<crate::protocol::caller::TurnAnswer>,
) {
    history.retain(|turn| {
        let answered = expected.get(&turn.branch).map_or(0, Vec::len) as u32;
        turn.number != answered + 1
    });
}

/// A branch in progress.
struct BranchRun<'a> {
    run: &'a ProgramRun<'a>,
    id: BranchId,
    calls: u32,
    turns: Vec<ExpectedTurn>,
    /// Receipts of the pending turns since the branch's last committed turn.
    receipts: Vec<String>,
    /// The code of the last refused call.
    refused_by: Option<RefusalCode>,
    result: ProgramResult,
}

impl<'a> BranchRun<'a> {
    fn new(run: &'a ProgramRun<'a>, id: BranchId) -> Self {
        let plan = run.plan;
        Self {
            run,
            id,
            calls: 0,
            turns: Vec::new(),
            receipts: Vec::new(),
            refused_by: None,
            result: ProgramResult::new(plan),
        }
    }

    async fn run_steps(&mut self, steps: &[Step]) {
        for step in steps {
            if self.result.failure.is_some() {
                return;
            }
            self.run_step(step).await;
        }
    }

    async fn run_step(&mut self, step: &Step) {
        self.send_receipts().await;
        match step {
            Step::Ask {
                text,
                max_tokens,
                stream,
            } => self.ask(text, *max_tokens, *stream).await,
            Step::Tool {
                operation,
                body,
                repeatable,
            } => self.tool(operation, body, *repeatable).await,
            Step::Pause(pause) => {
                Timer::after(*pause).await;
            }
            Step::AskUntilRefused { text, max_tokens } => {
                self.ask_until_refused(text, *max_tokens).await
            }
            Step::Fork(_) => {
                self.result.failure = Some("a branch cannot fork".to_owned());
            }
        }
    }

    /// Resubmits the receipts of pending turns, so that the owner has these turns before the next
    /// call builds on them.
    async fn send_receipts(&mut self) {
        let (client, program) = (self.run.client, self.run.program);
        for receipt in &self.receipts {
            let attempts = client
                .submit_receipt_with_retry(program, receipt, self.run.retry_deadline)
                .await;
            self.result.requests_sent += attempts.requests_sent;
            if let Err(error) = attempts.result {
                self.result.failure = Some(format!("a receipt was not accepted: {error}"));
                return;
            }
        }
    }

    async fn ask(&mut self, text: &str, max_tokens: u32, stream: bool) {
        let message = Message::new(Role::User, text);
        let model = self.run.plan.deployment.model();
        let request = CallRequest::model(model, vec![message.clone()], max_tokens);
        let request = self.with_branch_and_key(request);
        let (client, program) = (self.run.client, self.run.program);
        let attempts = match stream {
            true => {
                client
                    .stream_with_retry(program, &request, self.run.retry_deadline)
                    .await
            }
            false => {
                client
                    .call_with_retry(program, &request, self.run.retry_deadline)
                    .await
            }
        };
        let Some(answer) = self.record_attempts(attempts, "ask") else {
            return;
        };
        self.result.completion_tokens += u64::from(answer.usage.completion_tokens);
        if self.run.options.check_answers {
            self.check_answer(&message, max_tokens, &answer);
        }
        let pending = is_pending(&answer);
        let reply = Message::new(Role::Assistant, answer.content);
        self.turns.push(ExpectedTurn {
            call: answer.call,
            pending,
            messages: vec![message, reply],
        });
    }

    /// Calls the model until the budget refuses a call. An answer beyond the budget is an error.
    async fn ask_until_refused(&mut self, text: &str, max_tokens: u32) {
        let budget = self.run.plan.budget_calls.unwrap_or(0);
        while self.result.failure.is_none() {
            self.ask(text, max_tokens, false).await;
            if u64::from(self.result.calls_answered) > budget {
                let (key, answered) = (&self.run.plan.key, self.result.calls_answered);
                let error = format!("{key}: {answered} calls answered, but the budget is {budget}");
                self.result.budget_errors.push(error);
                return;
            }
        }
        if self.refused_by == Some(RefusalCode::Budget) {
            self.result.failure = None;
        }
    }

    fn check_answer(&mut self, message: &Message, max_tokens: u32, answer: &Answer) {
        let history = self.turns.iter().flat_map(|turn| &turn.messages);
        let prompt: Vec<Message> = history.chain([message]).cloned().collect();
        if answer.content != expected_answer(&prompt, max_tokens) {
            let (key, branch) = (&self.run.plan.key, self.id);
            let call = self.calls;
            let error = format!(
                "{key}: branch {branch}, call {call}: the answer belongs to another prompt"
            );
            self.result.answer_errors.push(error);
        }
    }

    async fn tool(&mut self, operation: &str, body: &serde_json::Value, repeatable: bool) {
        let service = self.run.plan.deployment.service();
        let mut request = CallRequest::tool(service, operation, body.clone());
        request.repeatable = repeatable;
        let request = self.with_branch_and_key(request);
        let (client, program) = (self.run.client, self.run.program);
        let attempts = client
            .call_with_retry(program, &request, self.run.retry_deadline)
            .await;
        if !repeatable {
            self.record_action(body, &attempts);
        }
        let Some(answer) = self.record_attempts(attempts, operation) else {
            return;
        };
        if self.run.options.check_answers && is_success(answer.status) {
            self.check_result(operation, body, &answer);
        }
        self.turns.push(ExpectedTurn {
            call: answer.call,
            pending: is_pending(&answer),
            messages: check::tool_messages(&answer.content),
        });
    }

    fn check_result(&mut self, operation: &str, body: &serde_json::Value, answer: &Answer) {
        let call = format_id(answer.call);
        if answer.content != expected_result(operation, &call, &body.to_string()) {
            let (key, branch, call) = (&self.run.plan.key, self.id, self.calls);
            let error =
                format!("{key}: branch {branch}, call {call}: the result belongs to another call");
            self.result.answer_errors.push(error);
        }
    }

    fn record_action(&mut self, body: &serde_json::Value, attempts: &RetryOutcome<Answer>) {
        let (verdict, detail) = match &attempts.result {
            Ok(answer) if is_success(answer.status) => (ActionVerdict::Done, String::new()),
            Ok(answer) => (ActionVerdict::Failed, format!("status {:?}", answer.status)),
            Err(error) => (verdict_for(error), error.to_string()),
        };
        let action = body["action"].as_str().unwrap_or_default().to_owned();
        self.result.actions.push(ObservedAction {
            action,
            verdict,
            detail,
        });
    }

    /// Sets the branch of a request and an idempotency key that is unique within the program.
    fn with_branch_and_key(&mut self, request: CallRequest) -> CallRequest {
        self.calls += 1;
        let key = format!("b{}c{}", self.id, self.calls);
        request.branch(self.id).key(key)
    }

    /// Records whether an answer is pending. A committed turn implies that all turns before it are
    /// committed, so their receipts are dropped.
    fn record_durability(&mut self, durability: &Durability) {
        match durability {
            Durability::Committed { .. } => self.receipts.clear(),
            Durability::Pending { receipt } => {
                self.result.pending_answers += 1;
                self.receipts.push(receipt.clone());
            }
        }
    }

    /// Records the outcome of a call and returns its answer. Returns `None` and records the failure if
    /// the call was not answered.
    fn record_attempts(
        &mut self,
        attempts: RetryOutcome<Answer>,
        operation: &str,
    ) -> Option<Answer> {
        self.result.requests_sent += attempts.requests_sent;
        self.result.first_tokens.extend(attempts.first_token);
        if let Some(fault) = attempts.fault {
            let (key, branch, call) = (&self.run.plan.key, self.id, self.calls);
            let error = format!("{key}: branch {branch}, call {call}: {fault}");
            self.result.answer_errors.push(error);
        }
        match attempts.result {
            Ok(answer) => {
                self.result.calls_answered += 1;
                self.record_durability(&answer.durability);
                Some(answer)
            }
            Err(error) => {
                if let CallError::Refused(refusal) = &error {
                    self.refused_by = Some(refusal.code);
                }
                let (branch, call) = (self.id, self.calls);
                let failure = format!("branch {branch}, call {call} ({operation}): {error}");
                self.result.failure = Some(failure);
                None
            }
        }
    }
}

fn is_pending(answer: &Answer) -> bool {
    matches!(answer.durability, Durability::Pending { .. })
}

fn is_success(status: Option<u16>) -> bool {
    status.is_some_and(|status| (200..300).contains(&status))
}

fn verdict_for(error: &CallError) -> ActionVerdict {
    match error.ran() {
        Ran::No => ActionVerdict::NotRun,
        Ran::Yes => ActionVerdict::Ran,
        Ran::Unknown => ActionVerdict::Unknown,
    }
}
