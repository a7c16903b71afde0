//! A gateway stands still while a manifest adds a route. Turns on that route, which continue turns of
//! other gateways, wait on its open connections when it goes on.

use crate::Verdict;
use crate::client::{Connection, TURN_TIME, Turn};
use crate::record::Record;
use crate::world::{NEW_TURNS, Sizes, TURNS, World, manifest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Programs that use the new route.
const PROGRAMS: usize = 12;

/// Clients that send other turns all the time.
const CLIENTS: usize = 55;

/// Time for which the gateway stands still.
const FROZEN: Duration = Duration::from_millis(4_000);

/// Time from the start of the freeze to the manifest.
const MANIFEST_AT: Duration = Duration::from_millis(3_000);

/// Time from the manifest to the first turns on its route.
const APPLY: Duration = Duration::from_millis(200);

pub fn play(record: &Record, has_trouble: bool) -> Option<Verdict> {
    let sizes = Sizes {
        gateways: 12,
        engines: 9,
        event_pause: Duration::from_millis(40),
    };
    let world = World::start("frozen", record, sizes)?;
    let (frozen, others) = world.gateways.split_last()?;
    let fronts: Vec<_> = others.iter().map(|gateway| gateway.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = fronts[client % fronts.len()];
            let (is_over, record) = (is_over.clone(), record.clone());
            thread::spawn(move || send_others(client, front, &is_over, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    // Connections that are open before, each with a turn.
    let connections: Vec<_> = (0..PROGRAMS)
        .map(|number| {
            let mut connection = Connection::open(frozen.front);
            let opening = first_turn(&format!("o{number}"), TURNS);
            opening.send_on(&mut connection, TURN_TIME, record);
            connection
        })
        .collect();

    if has_trouble {
        record.add("a gateway stands still");
        frozen.freeze();
    }
    thread::sleep(MANIFEST_AT);
    let newest = manifest(2, &[TURNS, NEW_TURNS]);
    world.store.put("keyed.op", "config", newest.as_bytes());
    record.add("the manifest with the new route is acknowledged");
    thread::sleep(APPLY);
    let not_found = Arc::new(AtomicUsize::new(0));
    let kept = Arc::new(AtomicUsize::new(0));
    let programs: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(number, second)| {
            let first = fronts[number % fronts.len()];
            let (not_found, kept) = (not_found.clone(), kept.clone());
            let record = record.clone();
            thread::spawn(move || {
                match continue_elsewhere(number, first, second, &record) {
                    Some(404 | 410) => not_found.fetch_add(1, Ordering::SeqCst),
                    Some(_) => kept.fetch_add(1, Ordering::SeqCst),
                    None => 0,
                };
            })
        })
        .collect();
    thread::sleep(FROZEN - MANIFEST_AT - APPLY);
    frozen.resume();
    record.add("the gateway goes on");
    for program in programs {
        program.join().expect("a program");
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client");
    }
    let (not_found, kept) = (
        not_found.load(Ordering::SeqCst),
        kept.load(Ordering::SeqCst),
    );
    let text = format!(
        "{not_found} of {} turns that name a turn answered whole got 404 or 410",
        not_found + kept
    );
    Some(match (not_found, kept) {
        (0, 0) => Verdict::NotRun("no first turn on the new route was answered".to_owned()),
        (0, _) => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}

/// Sends a first turn on the new route to one gateway, and one that continues it on an open connection to
/// another. Returns the status of the second one; `None` if the first one was not answered whole.
fn continue_elsewhere(
    number: usize,
    first: SocketAddr,
    mut second: Connection,
    record: &Record,
) -> Option<u16> {
    let begin = first_turn(&format!("p{number}"), NEW_TURNS);
    if !begin.send(first, record).is_success() {
        return None;
    }
    let next = Turn {
        id: format!("{}-2", begin.program),
        previous: Some(begin.id.clone()),
        input: format!("Something smaller for {number}."),
        ..begin
    };
    Some(next.send_on(&mut second, TURN_TIME, record).status)
}

fn first_turn(program: &str, path: &'static str) -> Turn {
    Turn {
        id: format!("{program}-1"),
        path,
        program: program.to_owned(),
        session: format!("s-{program}"),
        max_tokens: 70,
        input: format!("I am looking for a present, number {program}."),
        ..Turn::default()
    }
}

/// Sends first turns of other programs until the test is over.
fn send_others(client: usize, front: SocketAddr, is_over: &AtomicBool, record: &Record) {
    for number in 0_usize.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let turn = first_turn(&format!("b{client}-{number}"), TURNS);
        turn.send(front, record);
        // Clients that keep step would all be counted at the same moments.
        thread::sleep(Duration::from_millis(
            (client * 37 + number * 53) as u64 % 150,
        ));
    }
}
