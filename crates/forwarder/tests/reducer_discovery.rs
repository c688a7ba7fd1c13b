//! The reducer's source of the endpoint list, and when it starts a new watch.

mod common;

use common::steps::Step;
use common::world::{SilentCatalogue, World};
use common::{SECOND, START};
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, WatchEvent};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::catalogue::Catalogue;
use orchidyoke_forwarder::config::Config;
use orchidyoke_forwarder::connection_pool::REUSE_DELAY_US;
use orchidyoke_forwarder::input::{Effect, Input};
use orchidyoke_forwarder::reducer::Reducer;
use std::rc::Rc;

// Guards against a forwarder that stops when discovery is down, or that never gets updates of its list again.
#[test]
fn lost_watch_is_restarted_and_the_list_stays_in_use() {
    let mut world = World::new();
    world.step(0, Step::List { selector: 3, state: EndpointState::Draining });
    world.input(Input::WatchEnded { watch: 1, reason: "silent".to_owned(), retry_after_ms: 0, silence: 0 });
    world.submit("x".to_owned(), false, 2, 10);
    world.wait(SECOND);
    assert_eq!(
        world.watches,
        [(1, 2, 1), (2, 2, 2)],
        "one new watch must start from the version of the list in force"
    );
    assert!(world.messages["x"].accepted && !world.connections.is_empty());
}

// Guards against a reload that keeps the old discovery, forgets the open messages or the list, or watches two
// addresses. The old watch reports its end only after the reload.
#[test]
fn reload_watches_the_new_discovery_at_once() {
    let mut world = World::new();
    world.submit("a".to_owned(), true, 2, 10);
    world.wait(10_000);
    let text =
        common::config("127.0.0.1:1", "127.0.0.1:3", Vec::new()).replace("\"slots\":6", "\"slots\":12");
    world.input(Input::ConfigReloaded(Box::new(
        Config::read(&text, None, None).expect("the configuration is valid"),
    )));
    assert_eq!(world.watches, [(1, 2, 1), (2, 3, 1)]);
    world.input(Input::WatchEnded { watch: 1, reason: "it ended".to_owned(), retry_after_ms: 0, silence: 0 });
    world.wait(SECOND / 2);
    assert_eq!(world.watches.len(), 2, "the end of the old watch must not start another watch");
    world.step(0, Step::Connect { selector: 0, established: true });
    world.answer(0, 0);
    assert!(world.messages["a"].delivered);
    world.wait(REUSE_DELAY_US);
    world.submit("b".to_owned(), true, 2, 10);
    world.wait(10_000);
    assert!(
        world.pick_connection(0, |connection| connection.call.is_some()).is_some(),
        "the list must stay in use"
    );
}

// Guards against a list that is taken from two sources at the same time. After a change from discovery to a catalogue
// and back, events of the previous source are ignored, the versions of the sources are not mixed, and the list stays in
// use throughout.
#[test]
fn changed_list_source_keeps_the_list_and_ignores_the_old_source() {
    let config = |catalogue: Option<&'static str>| {
        let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::endpoint_entries());
        let catalogue = catalogue.map(|id| Rc::new(SilentCatalogue(id)) as Rc<dyn Catalogue>);
        Box::new(Config { catalogue, ..Config::read(&text, None, None).expect("the configuration is valid") })
    };
    let mut world = World::new();
    let (first, ..) = world.watches[0];
    world.input(Input::ConfigReloaded(config(Some("c1"))));
    let (second, port, list_version) = *world.watches.last().expect("a watch was started");
    assert_eq!(
        (world.watches.len(), port, list_version),
        (2, 0, 1),
        "the catalogue must be followed from the list that discovery sent"
    );
    let removal = |origin: &str| WatchEvent {
        version: 2,
        is_snapshot: false,
        endpoints: vec![EndpointEntry {
            state: EndpointState::Removed,
            ..common::endpoint_entries()[2].clone()
        }],
        origin: origin.to_owned(),
    };
    world.input(Input::WatchEvent { watch: first, event: removal("") });
    world.input(Input::WatchEnded { watch: first, reason: "left".to_owned(), retry_after_ms: 0, silence: 0 });
    world.submit("a".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(
        world.pick_connection(0, |connection| !connection.established).is_some(),
        "events of the old source must not change the list"
    );
    world.input(Input::ConfigReloaded(config(Some("c1"))));
    assert_eq!(world.watches.len(), 2, "the same catalogue must not be watched again");
    world.input(Input::WatchEvent { watch: second, event: removal("c1") });
    world.input(Input::ConfigReloaded(config(None)));
    let (_, port, since) = *world.watches.last().expect("a watch was started");
    assert_eq!(
        (port, since),
        (2, 0),
        "discovery must be asked for the whole list, because the catalogue's version means nothing to it"
    );
}

/// Returns when each forwarder of a fleet starts its watch: after its start, and after its first watch ended. The first
/// watch has lasted `lasted_seconds` and ends with a Retry-After of `delay_ms`.
fn fleet_watch_starts(size: u32, lasted_seconds: Micros, delay_ms: u64) -> (Vec<Micros>, Vec<Micros>) {
    let watch_starts = |reducer: &mut Reducer, from: Micros| {
        let at = (0..20_000).map(|step| from + step * SECOND / 100).find(|now| {
            let effects = reducer.step(*now, Input::TimerDue);
            effects.iter().any(|effect| matches!(effect, Effect::StartWatch { .. }))
        });
        at.expect("a watch is started") - from
    };
    let one_forwarder = |seed: u32| {
        let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::endpoint_entries());
        let text = text.replace("\"fleet_size\":1", &format!("\"fleet_size\":{size}"));
        let mut config = Config::read(&text, None, None).expect("the configuration is valid");
        assert_eq!(config.settings.fleet_size, size);
        (config.seed, config.settings.max_poll_interval) = (u64::from(seed), 10 * SECOND);
        let mut reducer = Reducer::new(config, 0, Vec::new(), 0, START);
        let first = watch_starts(&mut reducer, START);
        let ended_at = START + first + lasted_seconds * SECOND;
        let effects = reducer.step(
            ended_at,
            Input::WatchEnded {
                watch: 1,
                reason: "it ended".to_owned(),
                retry_after_ms: delay_ms,
                silence: 0,
            },
        );
        let at_once = effects.iter().any(|effect| matches!(effect, Effect::StartWatch { .. }));
        (first, if at_once { 0 } else { watch_starts(&mut reducer, ended_at) })
    };
    (0..size).map(one_forwarder).unzip()
}

// Guards against a drain that was announced before the forwarder had a watch. In a fleet of 300, the first watches were
// spread over 15 s, and a request went to an endpoint that had been draining for longer than its grace (the standing
// test, roll). Also guards against a whole fleet that starts its watches at the same moment, and against a single
// forwarder that waits for others.
#[test]
fn fleet_starts_its_watches_within_the_drain_grace() {
    for size in [3, 100, 300] {
        let (starts, restarts) = fleet_watch_starts(size, 60, 0);
        for (case, watch_starts) in [("at the start", starts), ("after an established watch", restarts)] {
            assert!(
                watch_starts.iter().all(|at| *at <= SECOND / 4 + SECOND / 100),
                "{size} {case}: each watch must start within 250 ms"
            );
            let together = (0..26)
                .map(|part| watch_starts.iter().filter(|at| **at / (SECOND / 100) == part).count())
                .max();
            assert!(together <= Some(2 + size as usize / 10), "{size} {case}: {together:?} within 10 ms");
        }
    }
    assert_eq!(fleet_watch_starts(1, 60, 0).0, [0]);
}

// Guards against a discovery that rejected the whole fleet and that all forwarders contact again at the same moment, or
// so late that a change of the list must be in force before they get it.
#[test]
fn rejected_fleet_spreads_its_watches() {
    for (size, most) in [(100, 45), (300, 105)] {
        let (_, restarts) = fleet_watch_starts(size, 1, 0);
        let busiest = (0..5).map(|second| restarts.iter().filter(|at| **at / SECOND == second).count()).max();
        assert!(busiest <= Some(most), "{size}: {busiest:?} in one second");
        assert!(
            restarts.iter().all(|at| *at <= 4 * SECOND + SECOND / 10),
            "{size}: each watch must start within 4 s"
        );
    }
    assert!(
        fleet_watch_starts(3, 1, 0).1.iter().all(|at| *at <= 7 * SECOND / 10),
        "the watches of a small fleet must start again within 0.7 s"
    );
}

// Guards against a Retry-After of discovery that is ignored although there is time to respect it, or after which the
// whole fleet comes at the same moment. Also guards against a Retry-After, or an overflow in its computation, that
// delays the watch beyond the time when a change must be in force, which is 6 s after discovery has it.
#[test]
fn fleet_with_retry_after_spreads_its_watches_within_the_list_age_limit() {
    let (_, restarts) = fleet_watch_starts(100, 60, 1000);
    assert!(restarts.iter().all(|at| (SECOND..=5 * SECOND).contains(at)), "{restarts:?}");
    for wait in [7000, u64::MAX, u64::MAX / 1000, 1 << 40] {
        let (_, restarts) = fleet_watch_starts(100, 60, wait);
        assert!(
            restarts.iter().all(|at| (5 * SECOND / 2..=5 * SECOND + SECOND / 100).contains(at)),
            "{wait}: {restarts:?}"
        );
        let busiest = (2..5).map(|second| restarts.iter().filter(|at| **at / SECOND == second).count()).max();
        assert!(busiest <= Some(55), "{wait}: {busiest:?} in one second");
    }
}

// Guards against a change of the list that is not received by the time it must be in force. Whatever way successive
// watches fail, the next one starts within 5 s of the last event, or of the start of the previous watch. One second is
// left for the watch itself.
#[test]
fn next_watch_starts_within_the_list_age_limit_after_any_end() {
    let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::endpoint_entries());
    for (seed, size) in [(1, 1), (2, 3), (3, 100), (4, 300)] {
        let text = text.replace("\"fleet_size\":1", &format!("\"fleet_size\":{size}"));
        let mut config = Config::read(&text, None, None).expect("the configuration is valid");
        (config.seed, config.settings.max_poll_interval) = (seed, 10 * SECOND);
        let mut reducer = Reducer::new(config, 0, Vec::new(), 0, START);
        let mut now = START;
        // Duration, silence, and Retry-After (in ms) of each failed watch: rejected at once, also with a Retry-After; a
        // connection attempt that hangs; silence before the first line; silence, and slow partial data, after it.
        let failures = [
            (0, 0, 0),
            (0, 0, 30_000),
            (0, 0, 1500),
            (SECOND, SECOND, 0),
            (3 * SECOND, 3 * SECOND, 0),
            (9 * SECOND, 3 * SECOND, 0),
            (9 * SECOND, 9 * SECOND / 2, 0),
        ];
        let watch_starts =
            |effects: Vec<Effect>| effects.iter().any(|effect| matches!(effect, Effect::StartWatch { .. }));
        while !watch_starts(reducer.step(now, Input::TimerDue)) {
            now += SECOND / 100;
        }
        for (watch, (duration, silent_for, delay_ms)) in (1..).zip(failures.into_iter().cycle().take(70)) {
            now += duration;
            let last_event_at = now - silent_for;
            let lost = Input::WatchEnded {
                watch,
                reason: "lost".to_owned(),
                retry_after_ms: delay_ms,
                silence: silent_for,
            };
            let mut started = watch_starts(reducer.step(now, lost));
            while !started {
                now += SECOND / 100;
                assert!(
                    now - last_event_at <= 5 * SECOND + SECOND / 100,
                    "{size}: no watch started in time after watch {watch}"
                );
                started = watch_starts(reducer.step(now, Input::TimerDue));
            }
        }
    }
}

// Guards against an endpoint that gets calls again because a lagging discovery sent an older list, and against a
// forwarder that never accepts the list of a discovery that restarted its version count.
#[test]
fn older_list_activates_no_endpoint_until_confirmed_by_another_watch() {
    let mut world = World::new();
    let send_list = |world: &mut World, list_version: u64, drains: bool| {
        let mut entries = common::endpoint_entries();
        entries[2].state = if drains { EndpointState::Draining } else { EndpointState::Active };
        let update = WatchEvent {
            version: list_version,
            is_snapshot: true,
            endpoints: entries,
            origin: String::new(),
        };
        let watch = world.watches.last().expect("a watch was started").0;
        world.input(Input::WatchEvent { watch, event: update });
    };
    send_list(&mut world, 43, true);
    // The same watch sends an older version twice, so discovery lags.
    for list_version in [41, 42] {
        send_list(&mut world, list_version, false);
        world.submit(format!("m{list_version}"), false, 2, 10);
        world.wait(10_000);
        assert!(
            world.connections.is_empty(),
            "version {list_version}: no connection may be opened to a draining endpoint"
        );
    }
    let watch_count = world.watches.len();
    world.wait(2 * SECOND);
    let (_, _, since) = *world.watches.last().expect("a watch was started");
    assert_eq!(
        (world.watches.len(), since),
        (watch_count + 1, 0),
        "one new watch must ask for the whole list"
    );
    send_list(&mut world, 42, false);
    world.wait(10_000);
    assert!(
        !world.connections.is_empty(),
        "the older list must be in force once a second watch has confirmed it"
    );
}
