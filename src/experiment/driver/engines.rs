//! Steps of the engines, and what their sidecars see of them.

use super::Driver;
use super::event::{Attempt, Event};
use crate::coordination::admission::CallObservation;
use crate::experiment::node::Work;
use crate::ids::CallId;
use crate::protocol::engine::EngineUsage;

impl Driver<'_> {
    /// Hands over what the queue before an endpoint allows.
    pub(super) fn pump(&mut self, index: usize) {
        if !self.nodes[index].alive {
            return;
        }
        while let Some(arrived) = self.nodes[index].pop(self.now) {
            if let Some(call) = self.calls.get_mut(&arrived.attempt.call) {
                call.handed_over = self.now;
                call.first_token = None;
                call.generated = 0;
            }
            let node = &mut self.nodes[index];
            node.live.push(arrived.attempt);
            match arrived.work {
                Work::Generate(request) => {
                    if let Some(engine) = &mut node.engine {
                        drop(engine.start(&request, self.now));
                    }
                }
                Work::Serve(time) => {
                    let at = self.now + time.div_f64(node.speed);
                    self.schedule.add(at, Event::Served(arrived.attempt));
                }
            }
        }
        self.plan(index);
    }

    /// Schedules the end of an engine's next step, if there is one.
    fn plan(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.stepping || !node.alive {
            return;
        }
        let Some(engine) = &mut node.engine else {
            return;
        };
        if let Some(time) = engine.plan(self.now) {
            node.stepping = true;
            let at = self.now + time.div_f64(node.speed);
            self.schedule.add(at, Event::Step(index));
        }
    }

    /// Ends an engine's step.
    pub(super) fn step(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.stepping = false;
        if !node.alive {
            return;
        }
        let Some(engine) = &mut node.engine else {
            return;
        };
        engine.step(self.now);
        let mut whole = Vec::new();
        for position in 0..self.nodes[index].live.len() {
            let attempt = self.nodes[index].live[position];
            if let Some(usage) = self.follow(attempt) {
                whole.push((attempt, usage));
            }
        }
        for (attempt, usage) in whole {
            self.finish(attempt, usage);
        }
        self.pump(index);
    }

    /// Follows one stream after a step; returns the token counts if it is whole.
    fn follow(&mut self, attempt: Attempt) -> Option<EngineUsage> {
        let node = &mut self.nodes[attempt.node];
        let engine = node.engine.as_ref()?;
        let (usage, is_whole) = engine.progress(attempt.call)?;
        let call = self.calls.get_mut(&attempt.call)?;
        if usage.completion_tokens > call.generated {
            call.generated = usage.completion_tokens;
            self.token(attempt);
        }
        is_whole.then_some(usage)
    }

    /// Notes one token.
    fn token(&mut self, attempt: Attempt) {
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let node = &mut self.nodes[attempt.node];
        if call.first_token.is_none() {
            call.first_token = Some(self.now);
            let took = self.now - call.submitted;
            self.stats
                .first_token_ms
                .saturating_record(took.as_millis() as u64);
            node.first_token(self.now, attempt.call);
            self.entries[call.entry].heard(self.now, attempt.node);
        } else {
            let gap = self.now - call.last_token;
            self.stats.gap_us.saturating_record(gap.as_micros() as u64);
            node.token_gap(self.now, gap);
        }
        call.last_token = self.now;
    }

    /// Ends a generation and sends its answer back.
    fn finish(&mut self, attempt: Attempt, usage: EngineUsage) {
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        let observed = CallObservation {
            uncached_tokens: usage.prompt_tokens - usage.cached_tokens,
            completion_tokens: usage.completion_tokens,
            first_token: call.first_token.map(|first| first - call.handed_over),
            ran: self.now - call.handed_over,
        };
        self.leave(attempt, observed, usage);
    }

    /// Ends a service call and sends its answer back.
    pub(super) fn served(&mut self, attempt: Attempt) {
        if !self.nodes[attempt.node].live.contains(&attempt) {
            return;
        }
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        let observed = CallObservation {
            ran: self.now - call.handed_over,
            ..CallObservation::default()
        };
        self.leave(attempt, observed, EngineUsage::default());
        self.pump(attempt.node);
    }

    fn leave(&mut self, attempt: Attempt, observed: CallObservation, usage: EngineUsage) {
        let node = &mut self.nodes[attempt.node];
        node.live.retain(|other| *other != attempt);
        node.finish(self.now, attempt.call, observed);
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

    /// Kills an endpoint: all that it has is lost.
    pub(super) fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
        let on_node = |call: &super::Call| call.sent.is_some_and(|sent| sent.node == index);
        let here = self.calls.iter().filter(|(_, call)| on_node(call));
        let mut lost: Vec<(CallId, Option<Attempt>)> =
            here.map(|(id, call)| (*id, call.sent)).collect();
        lost.sort_unstable_by_key(|(id, _)| *id);
        for attempt in lost.into_iter().filter_map(|(_, sent)| sent) {
            let Some(entry) = self.entry_of(attempt) else {
                continue;
            };
            let at = self.now + self.latency(entry, index);
            self.schedule.add(at, Event::Failed(attempt));
        }
    }
}
