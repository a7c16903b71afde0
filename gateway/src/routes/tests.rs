use super::{Configuration, Route, RouteKind, Routes};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

fn route(name: &str, host: &str, path_prefix: &str) -> Rc<Route> {
    Rc::new(Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        max_attempts: 2,
        is_resumable: false,
        longest_pause: Duration::ZERO,
        retention: None,
        is_public: false,
        services: vec![("a".into(), 90), ("b".into(), 10)],
    })
}

fn configuration(version: u64, routes: Vec<Rc<Route>>) -> Configuration {
    Configuration {
        version,
        routes,
        ..Configuration::default()
    }
}

#[googletest::test]
fn the_longest_matching_prefix_of_the_host_is_found() {
    let mut routes = Routes::default();
    let all = vec![
        route("short", "h", "/a/"),
        route("long", "h", "/a/b/"),
        route("other", "g", "/a/b/c/"),
    ];
    routes.apply(configuration(1, all));
    let name = |host: &str, target: &str| routes.find(host, target).map(|r| r.name.clone());
    expect_that!(name("h", "/a/b/c/d?x=/z/"), some(eq("long")));
    expect_that!(name("h", "/a/x"), some(eq("short")));
    expect_that!(name("h", "/a"), none());
    expect_that!(name("h", "/x?/a/"), none());
    expect_that!(name("i", "/a/b/"), none());
}

#[googletest::test]
fn an_older_or_equal_configuration_version_is_ignored() {
    let mut routes = Routes::default();
    expect_that!(
        routes.apply(configuration(7, vec![route("new", "h", "/")])),
        eq(true)
    );
    expect_that!(
        routes.apply(configuration(5, vec![route("old", "h", "/")])),
        eq(false)
    );
    expect_that!(
        routes.apply(configuration(7, vec![route("twin", "h", "/")])),
        eq(false)
    );
    expect_that!(
        routes.find("h", "/x").map(|r| r.name.clone()),
        some(eq("new"))
    );
    expect_that!(routes.version(), some(eq(7)));
}

#[googletest::test]
fn services_are_picked_in_proportion_to_their_weights() {
    let mut rng = fastrand::Rng::with_seed(3);
    let route = route("r", "h", "/");
    let picked = (0..1_000)
        .filter(|_| &*route.pick_service(&mut rng) == "b")
        .count();
    expect_that!(picked, all![ge(60), le(140)]);
}
