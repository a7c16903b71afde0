//! Puts the decisions on scarce room into force: programs that just came are refused while there is
//! too little room, and the calls of programs under way wait here in the order of their rank.

use crate::admission::programs::{Programs, program_hash};
use crate::admission::queue::{WaitQueue, WaitingNumber};
use crate::admission::rank::Need;
use crate::admission::refusal::{Arrival, RefusedPrograms, judge};
use crate::admission::room::{ForecastError, Room};
use crate::choice::endpoints::{InstanceTag, waiting_tag};
use crate::counters::write_metric;
use crate::dialect::Dialect;
use crate::fleet::program_news::{ProgramNews, Unreported};
use crate::node::Gateway;
use crate::routes::RouteKind;
use crate::serve::call::Call;
use crate::serve::reply::Refusal;
use smol::Timer;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Calls in flight up to which waiting ones are sent, as a multiple of the slots. What is above 1
/// keeps engines busy while counts are on their way.
const DEPTH: f64 = 1.2;

/// Interval at which waiting calls are examined; short compared with a call.
const RELEASE_INTERVAL: Duration = Duration::from_millis(10);

/// Share of a client's remaining time for which a call of a program in time waits here at most, and
/// one of a late program.
const IN_TIME_SHARE: f64 = 0.2;
const LATE_SHARE: f64 = 0.35;

/// Load, as a multiple of the slots, from which on gateways tell each other of programs. Less than 1,
/// so that programs under way are known when the first ones are refused.
const NEWS_LOAD: f64 = 0.7;

/// Time without such a load after which they stop. Programs under way have then mostly ended.
const NEWS_FOR: Duration = Duration::from_secs(3);

/// Reason given to the client of a refused program.
const REASON: &str = "there is no room for a new program now; come back after the time stated";

/// Number of priorities of routes that are told apart among accounts of equal priority.
const ROUTE_PRIORITIES: u32 = 4;

/// Highest priority that is told apart from others.
const MAX_PRIORITY: u32 = 31;

/// Returns the place of a call in the order of priorities: that of its account, then its route's.
fn precedence(call: &Call) -> u32 {
    let route_priority = call.route.priority.min(ROUTE_PRIORITIES - 1);
    let priority = call.priority().min(u32::MAX / ROUTE_PRIORITIES - 1);
    priority * ROUTE_PRIORITIES + route_priority
}

/// How long a call waited here, and for how long its endpoint was expected to let it wait.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoomWait {
    pub(crate) waited: Duration,
    pub(crate) predicted: Duration,
}

/// State of the decisions on scarce room.
#[derive(Debug, Default)]
pub(crate) struct Scarcity {
    programs: Programs,
    refused: RefusedPrograms,
    queues: HashMap<Rc<str>, WaitQueue<async_channel::Sender<()>>>,
    forecast: ForecastError,
    news: Unreported,
    /// When room was last scarce, or nearly.
    scarce_at: Option<Instant>,
    /// Priorities of the programs that came, one bit each.
    priorities: u32,
    /// Refused programs by priority and cause, and waiting calls that were released.
    refusals: BTreeMap<(u32, String), u64>,
    released: u64,
    overdue: u64,
}

impl Scarcity {
    fn waiting(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, WaitQueue::len)
    }

    /// Returns the number of priorities above this one.
    fn steps(&mut self, priority: u32) -> u32 {
        let bit = priority.min(MAX_PRIORITY);
        self.priorities |= 1 << bit;
        (self.priorities & ((1 << bit) - 1)).count_ones()
    }
}

/// Removes a waiting call whose client left.
struct WaitingCall<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    service: &'a str,
    number: WaitingNumber,
}

impl<D: Dialect> Drop for WaitingCall<'_, D> {
    fn drop(&mut self) {
        let mut scarcity = self.gateway.scarcity.borrow_mut();
        if let Some(queue) = scarcity.queues.get_mut(self.service) {
            queue.remove(self.number);
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Returns whether the decisions on scarce room apply to a call.
    fn has_scarce_room(&self, call: &Call) -> bool {
        self.settings.terms.has_scarce_room && call.route.kind == RouteKind::Streaming
    }

    fn room(&self, now: Instant, service: &str) -> Room {
        let own_waiting = self.scarcity.borrow().waiting(service);
        let endpoints = self.endpoints.borrow();
        endpoints.room(now, service, own_waiting)
    }

    /// Admits a turn, or refuses the first one of a program that there is no room for.
    pub(crate) fn admit_program(&self, call: &Call, service: &str) -> Result<(), Refusal> {
        let Some(program) = call.info.program.as_deref() else {
            return Ok(());
        };
        if !self.has_scarce_room(call) {
            return Ok(());
        }
        let now = Instant::now();
        let hash = program_hash(call.account_name(), program);
        let room = self.room(now, service);
        let time_left = call.info.program_time_left;
        let route = call.route.name.as_str();
        let has_begun = self.has_begun(call, program);
        let mut scarcity = self.scarcity.borrow_mut();
        if room.load() > NEWS_LOAD {
            scarcity.scarce_at = Some(now);
        }
        let call_duration = Duration::from_secs_f64(room.call_ms / 1_000.0);
        let programs = &scarcity.programs;
        let estimate = programs.estimate(hash, route, time_left, call_duration);
        let arrival = Arrival {
            steps: scarcity.steps(precedence(call)),
            is_return: scarcity.refused.contains(now, hash),
            account_share: 1.0,
            time_left,
            estimate,
        };
        let is_under_way = has_begun || estimate.has_begun;
        let cause = match is_under_way {
            true => None,
            false => judge(&room, &arrival, self.rng.borrow_mut().f64()),
        };
        let Some(cause) = cause else {
            let is_crowded = !room.is_free();
            let programs = &mut scarcity.programs;
            programs.record_turn(now, hash, route, time_left, is_crowded);
            if !is_under_way {
                scarcity.refused.admit(now, hash);
                let finish_ms = time_left.unwrap_or_default().as_millis();
                let finish_ms = u32::try_from(finish_ms).unwrap_or(u32::MAX);
                scarcity.news.add_begun(now, hash, finish_ms);
            }
            return Ok(());
        };
        let draw = self.rng.borrow_mut().f64();
        scarcity.news.add_refused(now, hash);
        let refused = &mut scarcity.refused;
        let retry_after = refused.refuse(now, hash, &room, call.time_left(), draw);
        crate::event!("program_refused", "request" => call.id(), "program" => program,
            "route" => route, "cause" => cause.to_string(), "priority" => call.priority(), "route_priority" => call.route.priority,
            "is_return" => arrival.is_return, "retry_after_ms" => retry_after.as_millis(),
            "finish_ms" => time_left.unwrap_or_default().as_millis(),
            "work_ms" => estimate.work_left.as_millis(), "turns" => estimate.turns_left.round() as u64,
            "wait_ms" => room.wait().as_millis(), "slots" => room.slots as u64, "calls" => room.calls as u64,
            "waiting" => room.waiting as u64, "call_ms" => room.call_ms.round() as u64,
            "age_ms" => room.age.as_millis());
        let key = (call.route.priority.min(MAX_PRIORITY), cause.to_string());
        *scarcity.refusals.entry(key).or_default() += 1;
        Err(Refusal::retry_later(retry_after, REASON))
    }

    /// Returns whether a turn shows that its program has begun: it continues one, or this gateway has
    /// answered a request of the program.
    fn has_begun(&self, call: &Call, program: &str) -> bool {
        let begun = self.begun_programs.borrow();
        call.info.previous_turn.is_some() || begun.contains(call.account_name(), program)
    }

    /// Returns the news of programs to tell now: none while there is ample room.
    pub(crate) fn next_program_news(&self, now: Instant) -> Option<ProgramNews> {
        let mut scarcity = self.scarcity.borrow_mut();
        let scarce_at = scarcity.scarce_at?;
        if now.saturating_duration_since(scarce_at) >= NEWS_FOR {
            return None;
        }
        scarcity.news.next_report(now)
    }

    /// Records what a peer tells of programs.
    pub(crate) fn receive_program_news(&self, news: &ProgramNews) {
        let now = Instant::now();
        let mut scarcity = self.scarcity.borrow_mut();
        for (program, finish_ms) in &news.begun {
            let finish = Duration::from_millis(u64::from(*finish_ms));
            let finish = Some(finish).filter(|finish| !finish.is_zero());
            let programs = &mut scarcity.programs;
            programs.record_begun_elsewhere(now, *program, finish);
        }
        for program in &news.refused {
            scarcity.refused.remember(now, *program);
        }
    }

    /// Waits until the service has room for a call, or until the call has waited long enough.
    pub(crate) async fn wait_for_room(&self, call: &Call, service: &str, tokens: u32) {
        if !self.has_scarce_room(call) {
            return;
        }
        let now = Instant::now();
        let need = self.need(now, call, service, tokens);
        let share = if need.is_late(now) {
            LATE_SHARE
        } else {
            IN_TIME_SHARE
        };
        let wait_until = now + call.time_left().mul_f64(share);
        let (sender, receiver) = async_channel::bounded(1);
        let number = {
            let mut scarcity = self.scarcity.borrow_mut();
            if !scarcity.queues.contains_key(service) {
                let queue = WaitQueue::new(now);
                scarcity.queues.insert(service.into(), queue);
            }
            let Some(queue) = scarcity.queues.get_mut(service) else {
                return;
            };
            queue.push(now, need, wait_until, sender)
        };
        let waiting = WaitingCall {
            gateway: self,
            service,
            number,
        };
        self.release_from(service);
        // The queue holds the sender until it releases the call, so an error means a release too.
        let _ = receiver.recv().await;
        drop(waiting);
        let before = call.room_wait.get();
        let room = Room {
            waiting: 0.0,
            ..self.room(Instant::now(), service)
        };
        call.room_wait.set(RoomWait {
            waited: before.waited + now.elapsed(),
            predicted: room.wait(),
        });
    }

    /// Returns the need of a call, whose turn was recorded when it was admitted.
    fn need(&self, now: Instant, call: &Call, service: &str, tokens: u32) -> Need {
        let time_left = call.info.program_time_left;
        let program = call.info.program.as_deref();
        let program = program.map(|program| program_hash(call.account_name(), program));
        let scarcity = self.scarcity.borrow();
        let route = call.route.name.as_str();
        let call_ms = self.endpoints.borrow().call_duration_ms(service);
        let duration = Duration::from_secs_f64(call_ms / 1_000.0);
        let programs = &scarcity.programs;
        let estimate =
            program.map(|hash| programs.estimate_recorded(hash, route, time_left, duration));
        Need {
            priority: precedence(call),
            finish_at: time_left.map(|left| now + left),
            work_left: estimate.map_or(Duration::ZERO, |estimate| estimate.work_left),
            turns_done: estimate.map_or(0, |estimate| estimate.turns_done),
            tokens,
        }
    }

    /// Releases the waiting calls of a service that it has room for, and those whose wait is over.
    fn release_from(&self, service: &str) {
        let now = Instant::now();
        let free = self.room(now, service).free(DEPTH);
        let peers_waiting = self.endpoints.borrow().peers_waiting(service);
        let mut scarcity = self.scarcity.borrow_mut();
        let Some(queue) = scarcity.queues.get_mut(service) else {
            return;
        };
        let count = queue.releasable(now, free, peers_waiting);
        let mut released = 0;
        while released < count
            && let Some(waiter) = queue.pop(now)
        {
            released += 1;
            // A call whose client left is gone from the queue.
            let _ = waiter.try_send(());
        }
        let mut overdue = 0;
        while let Some(waiter) = queue.pop_overdue(now) {
            overdue += 1;
            let _ = waiter.try_send(());
        }
        scarcity.released += released as u64;
        scarcity.overdue += overdue;
    }

    /// Releases waiting calls until the process ends.
    pub(crate) async fn release_waiting(self: Rc<Self>) {
        if !self.settings.terms.has_scarce_room {
            return;
        }
        loop {
            Timer::after(RELEASE_INTERVAL).await;
            let waiting: Vec<Rc<str>> = {
                let scarcity = self.scarcity.borrow();
                let queues = scarcity
                    .queues
                    .iter()
                    .filter(|(_, queue)| !queue.is_empty());
                queues.map(|(service, _)| service.clone()).collect()
            };
            for service in waiting {
                self.release_from(&service);
            }
        }
    }

    /// Returns the numbers of calls that wait here, for the peers.
    pub(crate) fn waiting_counts(&self) -> Vec<(InstanceTag, u32)> {
        let scarcity = self.scarcity.borrow();
        let queues = scarcity
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty());
        let counts = queues.map(|(service, queue)| {
            let count = u32::try_from(queue.len()).unwrap_or(u32::MAX);
            (waiting_tag(service), count)
        });
        counts.collect()
    }

    /// Renders what is known of scarce room in the Prometheus text format.
    pub(crate) fn render_scarcity(&self) -> String {
        let mut text = String::new();
        if !self.settings.terms.has_scarce_room {
            return text;
        }
        let scarcity = self.scarcity.borrow();
        for ((priority, cause), count) in &scarcity.refusals {
            let labels = format!("priority=\"{priority}\",cause=\"{cause}\"");
            write_metric(&mut text, "programs_refused_total", &labels, *count);
        }
        let now = Instant::now();
        for (service, queue) in &scarcity.queues {
            let room = self.endpoints.borrow().room(now, service, queue.len());
            let labels = format!("service=\"{service}\"");
            let mut write = |name: &str, value: u64| write_metric(&mut text, name, &labels, value);
            write("room_slots", room.slots as u64);
            write("room_calls", room.calls as u64);
            write("room_waiting", room.waiting as u64);
            write("room_wait_ms", room.wait().as_millis() as u64);
        }
        let forecast = scarcity.forecast;
        let mut write = |name: &str, value: u64| write_metric(&mut text, name, "", value);
        write("calls_released_total", scarcity.released);
        write("calls_overdue_total", scarcity.overdue);
        write("forecast_calls_total", forecast.calls);
        write("forecast_predicted_ms_total", forecast.predicted_ms);
        write("forecast_observed_ms_total", forecast.observed_ms);
        write("forecast_error_ms_total", forecast.error_ms);
        text
    }

    /// Compares the wait that was expected of a turn's endpoint with the turn's duration there.
    pub(crate) fn measure_forecast(&self, call: &Call, status: u16) {
        let Some(sent_at) = call.sent_at.get() else {
            return;
        };
        let is_served = (200..300).contains(&status) && call.send_count.get() == 1;
        if !is_served || !self.has_scarce_room(call) {
            return;
        }
        let Some((service, _)) = call.route.services.first() else {
            return;
        };
        let call_ms = self.endpoints.borrow().call_duration_ms(service);
        let mut scarcity = self.scarcity.borrow_mut();
        let predicted = call.room_wait.get().predicted;
        scarcity.forecast.add(predicted, sent_at.elapsed(), call_ms);
    }
}
