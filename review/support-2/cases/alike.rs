//! Three of 24 model servers crash, are cut off for a while or leave as planned while each runs a turn
//! with the same short input. Later turns of other programs with that input must still reach a server.

use crate::Verdict;
use crate::client::{Turn, send_until_whole};
use crate::record::Record;
use crate::server::{SLOTS, last_servers, wait_until};
use crate::world::{Sizes, TURNS, World};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Input of the turns that are alike.
const INPUT: &str = "Yes, please go on.";

/// Servers that the disruption hits: an eighth of them.
const HIT: usize = 3;

/// What happens to these servers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// They crash and start again.
    Crash,
    /// The network resets and refuses connections to them; they go on.
    Cut,
    /// Planned work takes them away. They never report `draining`.
    Leave,
}

/// Programs whose turns are judged.
const WITNESSES: usize = 6;

/// Time for which servers that crash or are cut off cannot be reached.
const DOWN: Duration = Duration::from_millis(4_500);

/// Time for which a leaving server serves on: `DrainMs` and a little.
const SERVE_ON: Duration = Duration::from_millis(2_200);

/// Time from the end of the disruption to the first judged turn, more than `StableWindowMs`.
const CALM: Duration = Duration::from_millis(4_500);

pub fn play(record: &Record, disruption: Option<Disruption>) -> Option<Verdict> {
    let sizes = Sizes {
        gateways: 3,
        engines: 24,
        event_pause: Duration::from_millis(150),
    };
    let mut world = World::start("alike", record, sizes)?;
    let fronts: Vec<_> = world.gateways.iter().map(|gateway| gateway.front).collect();
    let background = Background::start(&fronts, record);

    // Programs whose first turns have ended whole, on different servers.
    let mut chosen: Vec<Turn> = Vec::new();
    let mut servers: HashSet<String> = HashSet::new();
    let mut witnesses = Vec::new();
    for number in 0..40 {
        if chosen.len() == HIT && witnesses.len() == WITNESSES {
            break;
        }
        let first = first_turn(&format!("p{number}"));
        if !first.send(fronts[0], record).is_success() {
            continue;
        }
        let ran_at = last_servers(&world.runs)
            .remove(&first.id)
            .unwrap_or_default();
        if chosen.len() < HIT && servers.insert(ran_at) {
            chosen.push(first);
        } else if witnesses.len() < WITNESSES {
            witnesses.push(first);
        }
    }
    if chosen.len() < HIT || witnesses.len() < WITNESSES {
        return Some(Verdict::NotRun("the first turns failed".to_owned()));
    }

    // The alike turns of the chosen programs, each at another server.
    let senders: Vec<_> = chosen
        .iter()
        .map(|first| send_alike(first, &fronts, record))
        .collect();
    let ids: Vec<String> = chosen.iter().map(|first| attempt_id(first, 0)).collect();
    let running_at = || -> HashSet<String> {
        let servers = last_servers(&world.runs);
        ids.iter()
            .filter_map(|id| servers.get(id).cloned())
            .collect()
    };
    if !wait_until(Duration::from_secs(2), || running_at().len() == HIT) {
        return Some(Verdict::NotRun("the alike turns share servers".to_owned()));
    }
    let hit = running_at();
    thread::sleep(Duration::from_millis(100));
    let engines = world.engines.iter_mut();
    let mut engines: Vec<_> = engines
        .filter(|engine| hit.contains(&engine.id()))
        .collect();
    for engine in &mut engines {
        match disruption {
            Some(Disruption::Crash) => engine.crash(),
            Some(Disruption::Cut) => engine.cut(),
            Some(Disruption::Leave) => engine.leave(),
            None => {}
        }
    }
    thread::sleep(SERVE_ON);
    if disruption == Some(Disruption::Leave) {
        engines.iter_mut().for_each(|engine| engine.exit());
    }
    thread::sleep(DOWN - SERVE_ON);
    for engine in &mut engines {
        match disruption {
            Some(Disruption::Crash) => engine.begin_lifetime(),
            Some(Disruption::Cut) => engine.heal(),
            Some(Disruption::Leave) | None => {}
        }
    }
    for sender in senders {
        let tries = sender.join().expect("a client");
        record.add(format!("an alike turn was sent {tries} times"));
    }
    thread::sleep(CALM);

    // Turns of other programs with the same input.
    background.begin_to_count();
    let senders: Vec<_> = witnesses
        .iter()
        .map(|first| send_alike(first, &fronts, record))
        .collect();
    let running: usize = world.engines.iter().map(|engine| engine.running()).sum();
    let mut lost = 0;
    for (first, sender) in witnesses.iter().zip(senders) {
        let tries = sender.join().expect("a client");
        let runs = last_servers(&world.runs);
        let has_run = (0..tries).any(|attempt| runs.contains_key(&attempt_id(first, attempt)));
        record.add(format!(
            "the turn after {} was tried {tries} times and {} a server",
            first.id,
            if has_run { "reached" } else { "did not reach" }
        ));
        lost += usize::from(tries >= 5 && !has_run);
    }
    let half = world.engines.len() * SLOTS / 2;
    let (sent, reached) = background.stop(&world);
    let text = format!(
        "{lost} of {WITNESSES} turns that name a stored turn reached no server in five tries or more; \
         meanwhile {reached} of {sent} first turns reached one; {running} requests ran, half of the \
         places are {half}"
    );
    let is_judged = reached * 10 >= sent * 9 && running < half;
    Some(match (lost > 0, is_judged) {
        (true, true) => Verdict::Broken(text),
        (true, false) => Verdict::NotRun(text),
        (false, _) => Verdict::Held(text),
    })
}

fn first_turn(program: &str) -> Turn {
    Turn {
        id: format!("{program}-1"),
        path: TURNS,
        program: program.to_owned(),
        session: format!("s-{program}"),
        max_tokens: 70,
        input: format!("I am looking for a present, number {program}."),
        ..Turn::default()
    }
}

fn attempt_id(first: &Turn, attempt: usize) -> String {
    format!("{}-2-{attempt}", first.program)
}

/// Sends the alike turn after a first turn, until one is answered whole; returns how often.
fn send_alike(first: &Turn, fronts: &[SocketAddr], record: &Record) -> thread::JoinHandle<usize> {
    let (first, fronts, record) = (first.clone(), fronts.to_vec(), record.clone());
    thread::spawn(move || {
        let attempt = |number| Turn {
            id: attempt_id(&first, number),
            previous: Some(first.id.clone()),
            max_tokens: 200,
            input: INPUT.to_owned(),
            ..first.clone()
        };
        send_until_whole(attempt, &fronts, &record)
    })
}

/// Programs that begin all the time, with inputs that differ.
struct Background {
    is_over: Arc<AtomicBool>,
    /// Ids of the counted turns.
    counted: Arc<Mutex<Vec<String>>>,
    counts: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Background {
    fn start(fronts: &[SocketAddr], record: &Record) -> Self {
        let number = Arc::new(AtomicUsize::new(0));
        let mut background = Self {
            is_over: Arc::default(),
            counted: Arc::default(),
            counts: Arc::default(),
            clients: Vec::new(),
        };
        for client in 0..6 {
            let front = fronts[client % fronts.len()];
            let (is_over, counts) = (background.is_over.clone(), background.counts.clone());
            let (counted, number) = (background.counted.clone(), number.clone());
            let record = record.clone();
            background.clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let number = number.fetch_add(1, Ordering::SeqCst);
                    let turn = first_turn(&format!("b{number}"));
                    if counts.load(Ordering::SeqCst) {
                        counted.lock().expect("the ids").push(turn.id.clone());
                    }
                    turn.send(front, &record);
                    thread::sleep(Duration::from_millis(100));
                }
            }));
        }
        background
    }

    fn begin_to_count(&self) {
        self.counts.store(true, Ordering::SeqCst);
    }

    /// Returns how many turns were counted, and how many of them reached a server.
    fn stop(self, world: &World) -> (usize, usize) {
        self.is_over.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().expect("a client");
        }
        let counted = self.counted.lock().expect("the ids");
        let runs = last_servers(&world.runs);
        let reached = counted.iter().filter(|id| runs.contains_key(*id)).count();
        (counted.len(), reached)
    }
}
