//! Measures the duration of one choice of an endpoint by the number of endpoints.

use galenapick_gateway::{EndpointRecord, EndpointRequirements, Endpoints};
use std::hint::black_box;
use std::time::Instant;

/// Number of endpoints of a small site, a larger one, and the largest that is planned.
const SIZES: [u16; 3] = [9, 50, 650];

/// Number of choices measured for each size.
const CHOICES: u32 = 20_000;

/// Number of prompts cached by each endpoint.
const PROMPTS: u64 = 100;

/// Capacity of an engine's KV cache, in tokens.
const KV_CACHE_TOKENS: u64 = 60_000;

fn site(size: u16) -> Endpoints {
    let mut endpoints = Endpoints::default();
    for number in 0..size {
        let id = format!("i-{number:010x}");
        endpoints.upsert(EndpointRecord {
            id: id.as_str().into(),
            service: "llm".into(),
            address: ([10, 0, 0, 1], number).into(),
            failure_domain: format!("domain-{}", number % 4),
            slots: 6,
            is_draining: false,
            started_unix_ms: None,
        });
        for prompt in 0..PROMPTS {
            let part = u64::from(number) * PROMPTS + prompt;
            endpoints.record_prompt(&id, &[(0, 512), (part, 400)], KV_CACHE_TOKENS);
        }
        endpoints.begin_call(&id);
    }
    endpoints
}

fn main() {
    let mut rng = fastrand::Rng::with_seed(1);
    for size in SIZES {
        let endpoints = site(size);
        let started_at = Instant::now();
        for number in 0..CHOICES {
            let parts = [(0, 512), (u64::from(number) % PROMPTS, 400)];
            let requirements = EndpointRequirements {
                service: "llm",
                prompt_tokens: 1_000,
                answer_tokens: 70,
                prompt_parts: &parts,
                ..EndpointRequirements::default()
            };
            black_box(endpoints.choose(started_at, &requirements, "domain-1", &mut rng));
        }
        let took_us = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES);
        println!("{size:4} endpoints: {took_us:.1} us per choice");
    }
}
