use super::{LOST_AFTER, PROBE_INTERVAL, StoreHealth, StoreLink, StorePaths};
use crate::dialect::StoreCall;
use futures_lite::future;
use futures_util::future::join_all;
use googletest::prelude::*;
use smol::Timer;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

#[googletest::test]
fn the_store_is_lost_only_after_sustained_failures() {
    let health = StoreHealth::default();
    let start = Instant::now();
    health.record_failure(start);
    expect_that!(
        health.is_lost(start + Duration::from_millis(100)),
        eq(false)
    );
    health.record_failure(start + Duration::from_millis(500));
    let later = start + Duration::from_secs(1);
    expect_that!(health.is_lost(later), eq(true));
    expect_that!(
        health.record_success(later),
        some(eq(Duration::from_secs(1)))
    );
    expect_that!(health.is_lost(later), eq(false));
}

#[googletest::test]
fn a_single_failure_gives_no_grace_period() {
    let health = StoreHealth::default();
    let start = Instant::now();
    health.record_failure(start);
    let later = start + Duration::from_millis(10);
    expect_that!(health.record_success(later), none());
    expect_that!(health.grace_until(later), none());
}

/// Guards against sending work to an endpoint that has left. An endpoint that leaves 0.7 s after
/// the store's recovery must get no work 2 s later, although endpoints whose entries expired during
/// the outage may still register again.
#[googletest::test]
fn the_grace_period_starts_at_the_recovery() {
    let health = StoreHealth::default();
    let start = Instant::now();
    health.record_failure(start);
    let recovered_at = start + Duration::from_secs(9);
    health.record_success(recovered_at);
    let left_at = recovered_at + Duration::from_millis(700);
    let until = health.grace_until(left_at).expect("a grace period");
    expect_that!(until, lt(left_at + Duration::from_secs(2)));
    expect_that!(until, ge(recovered_at + Duration::from_secs(2)));
    expect_that!(health.grace_until(until), none());
}

#[googletest::test]
fn only_one_caller_at_a_time_probes_a_lost_store() {
    let paths = StorePaths::new("127.0.0.1:1".parse().expect("an address"));
    let probes = Cell::new(0);
    paths.health.record_failure(Instant::now() - LOST_AFTER);
    let callers = join_all([(); 20].map(|()| async {
        loop {
            paths.wait_for_probe_slot().await;
            probes.set(probes.get() + 1);
            Timer::after(Duration::from_millis(1)).await;
        }
    }));
    let time_limit = async {
        Timer::after(PROBE_INTERVAL * 5).await;
    };
    let callers = async {
        callers.await;
    };
    smol::block_on(future::or(callers, time_limit));
    expect_that!(probes.get(), all![ge(2), le(6)]);
}

#[googletest::test]
fn recovery_releases_all_waiting_callers() {
    let store = "127.0.0.1:1".parse().expect("an address");
    let paths = StorePaths::new(store);
    paths.health.record_failure(Instant::now() - LOST_AFTER);
    let callers = join_all([(); 20].map(|()| paths.wait_for_probe_slot()));
    let recovery = async {
        Timer::after(Duration::from_millis(5)).await;
        paths.record_answer(store);
        Timer::after(PROBE_INTERVAL / 3).await;
        false
    };
    let all = async {
        callers.await;
        true
    };
    expect_that!(smol::block_on(future::or(all, recovery)), eq(true));
}

/// Time that the store of the next test takes for an answer.
const SLOW_ANSWER: Duration = Duration::from_millis(200);

/// Starts a store that answers each call after [`SLOW_ANSWER`], and returns its address.
fn start_slow_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 1024]);
                thread::sleep(SLOW_ANSWER);
                // The caller may have given up.
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            });
        }
    });
    address
}

// Guards against readers that never get an answer while other calls fail and succeed in turn, because
// each success interrupts the calls under way.
#[googletest::test]
fn a_slow_call_ends_although_other_calls_fail_and_succeed_in_turn() {
    let store = start_slow_store();
    let paths = Rc::new(StorePaths::new(store));
    let call = StoreCall {
        method: "GET",
        target: "/".to_owned(),
        body: Vec::new(),
    };
    let mut link = StoreLink::new(paths.clone());
    let reader = async {
        while link.call(&call, SLOW_ANSWER * 4).await.is_err() {}
        true
    };
    let others = async {
        for _ in 0..60 {
            paths.health.record_failure(Instant::now());
            Timer::after(Duration::from_millis(25)).await;
            paths.record_answer("127.0.0.1:1".parse().expect("an address"));
            Timer::after(Duration::from_millis(25)).await;
        }
        false
    };
    expect_that!(smol::block_on(future::or(reader, others)), eq(true));
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

// Guards against peers whose calls are cut off at a relay each time that another call of the relay
// succeeds after a failure. Each cut connection of a peer comes back with a new link.
#[googletest::test]
fn a_relayed_call_ends_although_other_calls_fail_and_succeed_in_turn() {
    let store = start_slow_store();
    let paths = Rc::new(StorePaths::new(store));
    let call = StoreCall {
        method: "GET",
        target: "/".to_owned(),
        body: Vec::new(),
    };
    let peer = async {
        loop {
            let mut link = StoreLink::direct(paths.clone());
            if link.call(&call, SLOW_ANSWER * 4).await.is_ok() {
                return true;
            }
        }
    };
    let others = async {
        for _ in 0..60 {
            paths.health.record_failure(Instant::now());
            Timer::after(Duration::from_millis(25)).await;
            paths.record_answer(address(1));
            Timer::after(Duration::from_millis(25)).await;
        }
        false
    };
    expect_that!(smol::block_on(future::or(peer, others)), eq(true));
}

// Guards against all peers that turn to a gateway which has not reached the store since its start.
#[googletest::test]
fn a_gateway_that_has_no_answer_of_the_store_yet_does_not_reach_it() {
    let paths = StorePaths::new(address(1));
    expect_that!(paths.has_reached_store(), eq(false));
    paths.record_answer(address(1));
    expect_that!(paths.has_reached_store(), eq(true));
    paths.record_failure(address(1), Instant::now());
    expect_that!(paths.has_reached_store(), eq(false));
}

// Guards against calls that go again and again to a relay which is itself turned away.
#[googletest::test]
fn a_relay_that_failed_is_avoided_while_there_is_another() {
    let paths = StorePaths::new(address(1));
    let relays = vec![address(2), address(3)];
    let now = Instant::now();
    paths.record_failure(address(1), now);
    paths.set_relays(relays.clone());
    paths.record_failure(address(2), now);
    paths.set_relays(relays.clone());
    let chosen: Vec<SocketAddr> = (0..50).map(|_| paths.next_address()).collect();
    expect_that!(chosen, each(eq(&address(3))));
    // An overloaded relay is better than none.
    paths.record_failure(address(3), now);
    let chosen: Vec<SocketAddr> = (0..50).map(|_| paths.next_address()).collect();
    expect_that!(chosen, contains(eq(&address(2))));
    expect_that!(chosen, contains(eq(&address(3))));
}

/// Starts a store that answers each call with the next of these answers and closes the connection, and
/// returns its address.
fn start_cutting_store(answers: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (answer, stream) in answers.into_iter().zip(listener.incoming().flatten()) {
            let mut stream = stream;
            let _ = stream.read(&mut [0; 1024]);
            // A caller that has given up is seen by the test.
            let _ = stream.write_all(&answer);
        }
    });
    address
}

// Guards against an answer of the store that was cut being used, or relayed to another gateway, as a
// whole one.
#[googletest::test]
fn an_answer_of_the_store_that_is_cut_at_any_byte_is_a_failed_call() {
    let call = StoreCall {
        method: "GET",
        target: "/".to_owned(),
        body: Vec::new(),
    };
    let whole_answers = [
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nConnection: close\r\n\r\ntwelve bytes",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n\
         c\r\ntwelve bytes\r\n0\r\n\r\n",
    ];
    for whole in whole_answers {
        let cuts = 0..=whole.len();
        let answers = cuts.clone().map(|end| whole.as_bytes()[..end].to_vec());
        let paths = Rc::new(StorePaths::new(start_cutting_store(answers.collect())));
        let mut link = StoreLink::direct(paths.clone());
        for end in cuts {
            let answer = smol::block_on(link.call(&call, Duration::from_secs(5)));
            if end < whole.len() {
                expect_that!(answer, err(anything()), "{end} bytes");
                expect_that!(paths.health.is_failing(), eq(true), "{end} bytes");
            } else {
                let expected = (200, b"twelve bytes".to_vec());
                expect_that!(answer, ok(eq(&expected)));
            }
        }
    }
}

/// Time after an answer at which the store of the next test writes it again or closes the connection.
const AFTER_ANSWER: Duration = Duration::from_millis(20);

/// Starts a store that answers with the target of the call. After each answer, it writes the same one
/// again, or closes the connection.
fn start_faulty_store(repeats_answers: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut request = [0; 1024];
                while let Ok(count @ 1..) = stream.read(&mut request) {
                    let request = String::from_utf8_lossy(&request[..count]);
                    let target = request.split(' ').nth(1).unwrap_or_default();
                    let length = target.len();
                    let answer =
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{target}");
                    // The caller may have given up.
                    let _ = stream.write_all(answer.as_bytes());
                    thread::sleep(AFTER_ANSWER);
                    if !repeats_answers {
                        return;
                    }
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    address
}

/// Guards against an answer to an earlier call that is taken for the answer to the next one, and
/// against failures of calls on connections that were closed meanwhile.
#[googletest::test]
fn a_connection_with_unread_bytes_or_at_its_end_gets_no_further_call() {
    for repeats_answers in [true, false] {
        let store = start_faulty_store(repeats_answers);
        let paths = Rc::new(StorePaths::new(store));
        let mut link = StoreLink::new(paths);
        for target in ["/first", "/second", "/third"] {
            let call = StoreCall {
                method: "GET",
                target: target.to_owned(),
                body: Vec::new(),
            };
            let answer = smol::block_on(link.call(&call, SLOW_ANSWER * 4));
            let body = answer.map(|(_, body)| body).unwrap_or_default();
            expect_that!(
                String::from_utf8_lossy(&body),
                eq(target),
                "{repeats_answers}"
            );
            thread::sleep(AFTER_ANSWER * 2);
        }
    }
}
