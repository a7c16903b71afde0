//! Measures the latency that an entry and a sidecar add to a direct call of the engine.

use crate::support::{
    Cluster, Processes, cluster_options, create_program, direct_client, model_call, print_times,
};
use anyhow::Context;
use galenapick::ids::program_id;
use galenapick::protocol::engine::{Engine, EngineEvent, EngineStream, GenerateRequest};
use galenapick::{Client, Deployment, Endpoint, HttpEngine, StreamEvent};
use std::time::{Duration, Instant};

/// Number of pairs of a direct call and a call through the system.
const PAIRS: u32 = 400;

/// Number of tokens in an answer.
const TOKENS: u32 = 16;

/// Factor on the engine's times. It is small so that they do not hide the added latency.
const TIME_SCALE: f64 = 0.05;

/// Times to the first token and to the end of the whole answer.
struct Times {
    first_token: Duration,
    whole_answer: Duration,
}

pub(crate) async fn measure() -> anyhow::Result<()> {
    let cluster = Cluster::start(Processes, cluster_options(1, TIME_SCALE)).await?;
    let endpoint = Endpoint::Engine(Deployment::SaaMubadala, 0);
    let url = cluster
        .platform
        .engine(endpoint)
        .context("no engine")?
        .url();
    let engine = HttpEngine::new(&url, Duration::from_secs(10));
    let client = direct_client(&cluster, &["entry-1"]);
    let (mut direct, mut through_system) = (Vec::new(), Vec::new());
    for number in 0..PAIRS {
        let text = format!("question {number} about a gate that has come off its hinge");
        direct.push(call_engine(&engine, number, &text).await?);
        through_system.push(call_system(&client, &text).await?);
    }
    let mut added_first_token = Vec::new();
    let mut added_whole_answer = Vec::new();
    for (direct, through_system) in direct.iter().zip(&through_system) {
        added_first_token.push(
            through_system
                .first_token
                .saturating_sub(direct.first_token),
        );
        added_whole_answer.push(
            through_system
                .whole_answer
                .saturating_sub(direct.whole_answer),
        );
    }
    let column = |times: &[Times], field: fn(&Times) -> Duration| -> Vec<Duration> {
        times.iter().map(field).collect()
    };
    print_times(
        "direct, first token",
        &mut column(&direct, |t| t.first_token),
    );
    print_times(
        "through, first token",
        &mut column(&through_system, |t| t.first_token),
    );
    print_times("added to the first token", &mut added_first_token);
    print_times(
        "direct, whole answer",
        &mut column(&direct, |t| t.whole_answer),
    );
    print_times(
        "through, whole answer, committed",
        &mut column(&through_system, |t| t.whole_answer),
    );
    print_times(
        "added to the whole answer, with its commit",
        &mut added_whole_answer,
    );
    Ok(())
}

async fn call_engine(engine: &HttpEngine, number: u32, text: &str) -> anyhow::Result<Times> {
    let request = model_call(text, TOKENS);
    let started = Instant::now();
    let mut stream = engine
        .generate(GenerateRequest {
            call: program_id(u64::from(number), 1),
            program: program_id(u64::from(number), 2),
            model: "matcher-llm".to_owned(),
            messages: request.messages,
            max_tokens: TOKENS,
        })
        .await?;
    let mut first_token = None;
    while let Some(event) = stream.next().await {
        match event? {
            EngineEvent::Delta { .. } => {
                first_token.get_or_insert(started.elapsed());
            }
            EngineEvent::Done(_) => break,
        }
    }
    Ok(Times {
        first_token: first_token.context("no token")?,
        whole_answer: started.elapsed(),
    })
}

async fn call_system(client: &Client, text: &str) -> anyhow::Result<Times> {
    let program = create_program(client).await?;
    let request = model_call(text, TOKENS).key("c");
    let started = Instant::now();
    let mut stream = client.stream(program, &request).await?;
    let mut first_token = None;
    while let Some(event) = stream.next().await {
        if let StreamEvent::Tokens(_) = event? {
            first_token.get_or_insert(started.elapsed());
        }
    }
    let whole_answer = started.elapsed();
    client.end(program).await?;
    Ok(Times {
        first_token: first_token.context("no token")?,
        whole_answer,
    })
}
