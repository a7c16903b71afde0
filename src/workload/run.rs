//! Runs one program as its caller.

use super::check::{self, KnownTurn, KnownTurns};
use super::plan::{Plan, Step};
use super::result::{ActionSeen, ActionVerdict, ProgramResult};
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

/// How a program is run and checked.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Whether the model is the engine stand-in, so that answers can be checked.
    pub check_answers: bool,
    /// When the program should have begun; latency counts from here.
    pub intended_start: Instant,
}

impl RunOptions {
    /// Checks everything; latency counts from now.
    pub fn checked() -> Self {
        Self {
            check_answers: true,
            intended_start: Instant::now(),
        }
    }
}

/// Runs a program to its end and checks what its caller can see.
pub async fn run_program(client: &Client, plan: &Plan, options: RunOptions) -> ProgramResult {
    let mut result = ProgramResult::of_plan(plan);
    let patience = RetryDeadline {
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
    let begun = client.create_with_retry(&request, patience).await;
    result.sent += begun.requests_sent;
    let program = match begun.result {
        Ok(begun) => begun.program,
        Err(error) => {
            result.failure = Some(format!("not begun: {error}"));
            return result;
        }
    };
    result.program = Some(program);
    let run = Run {
        client,
        plan,
        options,
        patience,
        program,
    };
    let mut known = run.steps(&mut result).await;
    result.latency = options.intended_start.elapsed();
    run.check_history(&mut known, &mut result).await;
    let ended = client.end_with_retry(program, patience).await;
    if let (Err(error), None) = (ended.result, &result.failure) {
        result.failure = Some(format!("not ended: {error}"));
    }
    result
}

/// A program that runs.
struct Run<'a> {
    client: &'a Client,
    plan: &'a Plan,
    options: RunOptions,
    patience: RetryDeadline,
    program: ProgramId,
}

impl Run<'_> {
    /// Runs all steps; returns the turns that were answered.
    async fn steps(&self, result: &mut ProgramResult) -> KnownTurns {
        let mut known = KnownTurns::new();
        let mut main = BranchRun::new(self, 0);
        let mut next_branch = 1;
        for step in &self.plan.steps {
            if main.result.failure.is_some() {
                break;
            }
            let Step::Fork(branches) = step else {
                main.step(step).await;
                continue;
            };
            let runs = branches.iter().zip(next_branch..).map(async |(steps, id)| {
                let mut branch = BranchRun::new(self, id);
                branch.all(steps).await;
                branch
            });
            next_branch += branches.len() as BranchId;
            for branch in join_all(runs).await {
                known.insert(branch.id, branch.turns);
                main.result.absorb(branch.result);
            }
        }
        known.insert(0, main.turns);
        result.absorb(main.result);
        known.retain(|_, turns| !turns.is_empty());
        known
    }

    /// Compares the history with what was answered. A turn whose answer was lost may stand in it.
    async fn check_history(&self, known: &mut KnownTurns, result: &mut ProgramResult) {
        let patience = RetryDeadline::after(HISTORY_PATIENCE);
        let read = self.client.history_with_retry(self.program, patience).await;
        match read.result {
            Ok(history) => {
                let mut history = history;
                if result.failure.is_some() {
                    drop_unanswered(known, &mut history);
                }
                let (checked, errors) = check::compare(known, &history);
                result.turns_checked = checked;
                let name = |error| format!("{}: {error}", self.plan.key);
                result.history_errors.extend(errors.into_iter().map(name));
            }
            Err(error) => {
                result
                    .failure
                    .get_or_insert(format!("history not read: {error}"));
            }
        }
    }
}

/// How long the history is asked for.
const HISTORY_PATIENCE: Duration = Duration::from_secs(30);

/// Drops the turn at the end of a branch whose call was not answered: it may stand or not.
fn drop_unanswered(known: &KnownTurns, history: &mut Vec<crate::protocol::caller::TurnAnswer>) {
    history.retain(|turn| {
        let answered = known.get(&turn.branch).map_or(0, Vec::len) as u32;
        turn.number != answered + 1
    });
}

/// A branch that runs.
struct BranchRun<'a> {
    run: &'a Run<'a>,
    id: BranchId,
    calls: u32,
    turns: Vec<KnownTurn>,
    /// Receipts of pending answers since the branch's last committed one.
    receipts: Vec<String>,
    /// The code of the last refusal.
    refused_by: Option<RefusalCode>,
    result: ProgramResult,
}

impl<'a> BranchRun<'a> {
    fn new(run: &'a Run<'a>, id: BranchId) -> Self {
        let plan = run.plan;
        Self {
            run,
            id,
            calls: 0,
            turns: Vec::new(),
            receipts: Vec::new(),
            refused_by: None,
            result: ProgramResult::of_plan(plan),
        }
    }

    async fn all(&mut self, steps: &[Step]) {
        for step in steps {
            if self.result.failure.is_some() {
                return;
            }
            self.step(step).await;
        }
    }

    async fn step(&mut self, step: &Step) {
        self.bring_back().await;
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
            Step::AskWithoutEnd { text, max_tokens } => {
                self.ask_without_end(text, *max_tokens).await
            }
            Step::Fork(_) => {
                self.result.failure = Some("a branch has no branches".to_owned());
            }
        }
    }

    /// Brings receipts back before more is built upon their turns.
    async fn bring_back(&mut self) {
        let (client, program) = (self.run.client, self.run.program);
        for receipt in &self.receipts {
            let brought = client
                .submit_receipt_with_retry(program, receipt, self.run.patience)
                .await;
            self.result.sent += brought.requests_sent;
            if let Err(error) = brought.result {
                self.result.failure = Some(format!("receipt not taken: {error}"));
                return;
            }
        }
    }

    async fn ask(&mut self, text: &str, max_tokens: u32, stream: bool) {
        let message = Message::new(Role::User, text);
        let model = self.run.plan.deployment.model();
        let request = CallRequest::model(model, vec![message.clone()], max_tokens);
        let request = self.dress(request);
        let (client, program) = (self.run.client, self.run.program);
        let attempts = match stream {
            true => {
                client
                    .stream_with_retry(program, &request, self.run.patience)
                    .await
            }
            false => {
                client
                    .call_with_retry(program, &request, self.run.patience)
                    .await
            }
        };
        let Some(answer) = self.take(attempts, "ask") else {
            return;
        };
        self.result.completion_tokens += u64::from(answer.usage.completion_tokens);
        if self.run.options.check_answers {
            self.check_answer(&message, max_tokens, &answer);
        }
        let pending = is_pending(&answer);
        let reply = Message::new(Role::Assistant, answer.content);
        self.turns.push(KnownTurn {
            call: answer.call,
            pending,
            messages: vec![message, reply],
        });
    }

    /// Asks until the budget refuses; one call more than it allows is an error.
    async fn ask_without_end(&mut self, text: &str, max_tokens: u32) {
        let budget = self.run.plan.budget_calls.unwrap_or(0);
        while self.result.failure.is_none() {
            self.ask(text, max_tokens, false).await;
            if u64::from(self.result.answered) > budget {
                let (key, answered) = (&self.run.plan.key, self.result.answered);
                let error = format!("{key}: {answered} calls answered of {budget}");
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
            let error = format!("{key}: branch {branch}, call {call}: another prompt's answer");
            self.result.answer_errors.push(error);
        }
    }

    async fn tool(&mut self, operation: &str, body: &serde_json::Value, repeatable: bool) {
        let service = self.run.plan.deployment.service();
        let mut request = CallRequest::tool(service, operation, body.clone());
        request.repeatable = repeatable;
        let request = self.dress(request);
        let (client, program) = (self.run.client, self.run.program);
        let attempts = client
            .call_with_retry(program, &request, self.run.patience)
            .await;
        if !repeatable {
            self.note_action(body, &attempts);
        }
        let Some(answer) = self.take(attempts, operation) else {
            return;
        };
        if self.run.options.check_answers && is_success(answer.status) {
            self.check_result(operation, body, &answer);
        }
        self.turns.push(KnownTurn {
            call: answer.call,
            pending: is_pending(&answer),
            messages: check::tool_turn(&answer.content),
        });
    }

    fn check_result(&mut self, operation: &str, body: &serde_json::Value, answer: &Answer) {
        let call = format_id(answer.call);
        if answer.content != expected_result(operation, &call, &body.to_string()) {
            let (key, branch, call) = (&self.run.plan.key, self.id, self.calls);
            let error = format!("{key}: branch {branch}, call {call}: another call's result");
            self.result.answer_errors.push(error);
        }
    }

    fn note_action(&mut self, body: &serde_json::Value, attempts: &RetryOutcome<Answer>) {
        let (verdict, detail) = match &attempts.result {
            Ok(answer) if is_success(answer.status) => (ActionVerdict::Done, String::new()),
            Ok(answer) => (ActionVerdict::Failed, format!("status {:?}", answer.status)),
            Err(error) => (verdict_of(error), error.to_string()),
        };
        let action = body["action"].as_str().unwrap_or_default().to_owned();
        self.result.actions.push(ActionSeen {
            action,
            verdict,
            detail,
        });
    }

    /// Gives a call its branch and key.
    fn dress(&mut self, request: CallRequest) -> CallRequest {
        self.calls += 1;
        let key = format!("b{}c{}", self.id, self.calls);
        request.branch(self.id).key(key)
    }

    /// A committed turn stands on those before it, so their receipts are not needed any more.
    fn note_durability(&mut self, durability: &Durability) {
        match durability {
            Durability::Committed { .. } => self.receipts.clear(),
            Durability::Pending { receipt } => {
                self.result.pending += 1;
                self.receipts.push(receipt.clone());
            }
        }
    }

    /// Notes what a call took; `None` if it was not answered.
    fn take(&mut self, attempts: RetryOutcome<Answer>, what: &str) -> Option<Answer> {
        self.result.sent += attempts.requests_sent;
        self.result.first_tokens.extend(attempts.first_token);
        if let Some(fault) = attempts.fault {
            let (key, branch, call) = (&self.run.plan.key, self.id, self.calls);
            let error = format!("{key}: branch {branch}, call {call}: {fault}");
            self.result.answer_errors.push(error);
        }
        match attempts.result {
            Ok(answer) => {
                self.result.answered += 1;
                self.note_durability(&answer.durability);
                Some(answer)
            }
            Err(error) => {
                if let CallError::Refused(refusal) = &error {
                    self.refused_by = Some(refusal.code);
                }
                let (branch, call) = (self.id, self.calls);
                let failure = format!("branch {branch}, call {call} ({what}): {error}");
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

fn verdict_of(error: &CallError) -> ActionVerdict {
    match error.ran() {
        Ran::No => ActionVerdict::NotRun,
        Ran::Yes => ActionVerdict::Ran,
        Ran::Unknown => ActionVerdict::Unknown,
    }
}
