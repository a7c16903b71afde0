//! Steps of the engines and their effects on sidecars and entries.

use super::Driver;
use super::event::{Attempt, Event};
use crate::coordination::admission::CallObservation;
use crate::experiment::node::Work;
use crate::ids::CallId;
use crate::protocol::engine::EngineUsage;

impl Driver<'_> {
    /// Dispatches calls from the queue to the endpoint as far as the queue allows.
    pub(super) fn dispatch_queued(&mut self, index: usize) {
        if !self.nodes[index].is_alive {
            return;
        }
        while let Some(queued) = self.nodes[index].pop(self.now) {
            if let Some(call) = self.calls.get_mut(&queued.attempt.call) {
                call.dispatched_at = self.now;
                call.first_token_at = None;
                call.generated_tokens = 0;
            }
            let node = &mut self.nodes[index];
            node.dispatched.push(queued.attempt);
            match queued.work {
                Work::Generate(request) => {
                    if let Some(engine) = &mut node.engine {
                        drop(engine.start(&request, self.now));
                    }
                }
                Work::Serve(time) => {
                    let at = self.now + time.div_f64(node.speed);
                    self.schedule.add(at, Event::ServiceDone(queued.attempt));
                }
            }
        }
        self.schedule_step(index);
    }

    /// Schedules the end of an engine's next step, if it has work.
    fn schedule_step(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.is_step_scheduled || !node.is_alive {
            return;
        }
        let Some(engine) = &mut node.engine else {
            return;
        };
        if let Some(time) = engine.plan(self.now) {
            node.is_step_scheduled = true;
            let at = self.now + time.div_f64(node.speed);
            self.schedule.add(at, Event::Step(index));
        }
    }

    /// Completes an engine's step, and processes its tokens and finished streams.
    pub(super) fn finish_step(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.is_step_scheduled = false;
        if !node.is_alive {
            return;
        }
        let Some(engine) = &mut node.engine else {
            return;
        };
        engine.step(self.now);
        let mut finished = Vec::new();
        for position in 0..self.nodes[index].dispatched.len() {
            let attempt = self.nodes[index].dispatched[position];
            if let Some(usage) = self.update_stream(attempt) {
                finished.push((attempt, usage));
            }
        }
        for (attempt, usage) in finished {
            self.finish_generation(attempt, usage);
        }
        self.dispatch_queued(index);
    }

    /// Records the progress of a stream after a step. Returns the token counts if it has finished.
    fn update_stream(&mut self, attempt: Attempt) -> Option<EngineUsage> {
        let node = &mut self.nodes[attempt.node];
        let engine = node.engine.as_ref()?;
        let (usage, is_finished) = engine.progress(attempt.call)?;
        let call = self.calls.get_mut(&attempt.call)?;
        if usage.completion_tokens > call.generated_tokens {
            call.generated_tokens = usage.completion_tokens;
            self.record_token(attempt);
        }
        is_finished.then_some(usage)
    }

    /// Records the time of a token in the statistics and in the sidecar's queue.
    fn record_token(&mut self, attempt: Attempt) {
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let node = &mut self.nodes[attempt.node];
        if call.first_token_at.is_none() {
            call.first_token_at = Some(self.now);
            let elapsed = self.now - call.submitted_at;
            self.stats
                .first_token_ms
                .saturating_record(elapsed.as_millis() as u64);
            node.record_first_token(self.now, attempt.call);
            self.entries[call.entry].record_activity(self.now, attempt.node);
        } else {
            let gap = self.now - call.last_token_at;
            self.stats.gap_us.saturating_record(gap.as_micros() as u64);
            node.record_token_gap(self.now, gap);
        }
        call.last_token_at = self.now;
    }

    /// Completes a model call and sends its answer.
    fn finish_generation(&mut self, attempt: Attempt, usage: EngineUsage) {
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        let observation = CallObservation {
            uncached_tokens: usage.prompt_tokens - usage.cached_tokens,
            completion_tokens: usage.completion_tokens,
            first_token: call.first_token_at.map(|first| first - call.dispatched_at),
            ran: self.now - call.dispatched_at,
        };
        self.finish_attempt(attempt, observation, usage);
    }

    /// Completes a service call and sends its answer.
    pub(super) fn handle_service_done(&mut self, attempt: Attempt) {
        if !self.nodes[attempt.node].dispatched.contains(&attempt) {
            return;
        }
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        let observation = CallObservation {
            ran: self.now - call.dispatched_at,
            ..CallObservation::default()
        };
        self.finish_attempt(attempt, observation, EngineUsage::default());
        self.dispatch_queued(attempt.node);
    }

    fn finish_attempt(
        &mut self,
        attempt: Attempt,
        observation: CallObservation,
        usage: EngineUsage,
    ) {
        let node = &mut self.nodes[attempt.node];
        node.dispatched.retain(|other| *other != attempt);
        node.record_finished(self.now, attempt.call, observation);
        let load = Box::new(node.load(self.now));
        let Some(entry) = self.entry_of(attempt) else {
            return;
        };
        let at = self.now + self.latency(entry, attempt.node);
        let answer = Event::Answer {
            attempt,
            usage,
            load,
        };
        self.schedule.add(at, answer);
    }

    /// Kills an endpoint. All of its calls fail.
    pub(super) fn kill(&mut self, index: usize) {
        self.nodes[index].is_alive = false;
        let on_node = |call: &super::Call| {
            call.current_attempt
                .is_some_and(|attempt| attempt.node == index)
        };
        let affected = self.calls.iter().filter(|(_, call)| on_node(call));
        let mut lost: Vec<(CallId, Option<Attempt>)> = affected
            .map(|(id, call)| (*id, call.current_attempt))
            .collect();
        lost.sort_unstable_by_key(|(id, _)| *id);
        for attempt in lost.into_iter().filter_map(|(_, attempt)| attempt) {
            let Some(entry) = self.entry_of(attempt) else {
                continue;
            };
            let at = self.now + self.latency(entry, index);
            self.schedule.add(at, Event::Failed(attempt));
        }
    }
}
