//! Where the reducer has its list from, and when it asks again.

mod common;

use common::steps::Step;
use common::world::{Still, World};
use common::{S, START};
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, WatchEvent};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::catalogue::Catalogue;
use orchidyoke_forwarder::config::Config;
use orchidyoke_forwarder::input::{Effect, Input};
use orchidyoke_forwarder::reducer::Reducer;
use std::rc::Rc;

// Guards against a forwarder that stops, or never hears of its list again, when discovery is down.
#[test]
fn lost_watch_is_restarted_and_the_list_stays_in_use() {
    let mut world = World::new();
    world.step(0, Step::List { which: 3, state: EndpointState::Draining });
    world.input(Input::WatchEnded { watch: 1, reason: "silent".to_owned(), retry_after_ms: 0, silence: 0 });
    world.submit("x".to_owned(), false, 2, 10);
    world.wait(S);
    assert_eq!(
        world.follows,
        [(1, 2, 1), (2, 2, 2)],
        "asked again, once, for what came after the version held"
    );
    assert!(world.fates["x"].taken_on && !world.links.is_empty());
}

// Guards against a reload that stays with the old discovery, forgets what is held or the list, or follows two
// addresses: the watch that was left says so late.
#[test]
fn reload_watches_the_new_discovery_at_once() {
    let mut world = World::new();
    world.submit("a".to_owned(), true, 2, 10);
    world.wait(10_000);
    let text =
        common::config("127.0.0.1:1", "127.0.0.1:3", Vec::new()).replace("\"slots\":6", "\"slots\":12");
    world.input(Input::ConfigReloaded(Box::new(Config::read(&text, None, None).expect("a configuration"))));
    assert_eq!(world.follows, [(1, 2, 1), (2, 3, 1)]);
    world.input(Input::WatchEnded { watch: 1, reason: "it ended".to_owned(), retry_after_ms: 0, silence: 0 });
    world.wait(S / 2);
    assert_eq!(world.follows.len(), 2, "nothing is asked again for the old one's end");
    world.step(0, Step::Connect { which: 0, up: true });
    world.answer(0, 0);
    assert!(world.fates["a"].delivered);
    world.submit("b".to_owned(), true, 2, 10);
    world.wait(10_000);
    assert!(world.pick(0, |l| l.call.is_some()).is_some(), "the list stays in use");
}

// Guards against a list taken from two sources at once: after the change from discovery to a catalogue and back, what
// the one before still tells is passed over, versions are not mixed, and the list stays in use all the time.
#[test]
fn changed_list_source_keeps_the_list_and_ignores_the_old_source() {
    let config = |catalogue: Option<&'static str>| {
        let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::targets());
        let catalogue = catalogue.map(|id| Rc::new(Still(id)) as Rc<dyn Catalogue>);
        Box::new(Config { catalogue, ..Config::read(&text, None, None).expect("a configuration") })
    };
    let mut world = World::new();
    let (first, ..) = world.follows[0];
    world.input(Input::ConfigReloaded(config(Some("c1"))));
    let (second, port, held) = *world.follows.last().expect("followed");
    assert_eq!((world.follows.len(), port, held), (2, 0, 1), "it goes on from the list that discovery told");
    let gone = |origin: &str| WatchEvent {
        version: 2,
        is_snapshot: false,
        endpoints: vec![EndpointEntry { state: EndpointState::Removed, ..common::targets()[2].clone() }],
        origin: origin.to_owned(),
    };
    world.input(Input::WatchEvent { watch: first, event: gone("") });
    world.input(Input::WatchEnded { watch: first, reason: "left".to_owned(), retry_after_ms: 0, silence: 0 });
    world.submit("a".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(world.pick(0, |l| !l.up).is_some(), "the list is as it was");
    world.input(Input::ConfigReloaded(config(Some("c1"))));
    assert_eq!(world.follows.len(), 2, "the same catalogue is not followed anew");
    world.input(Input::WatchEvent { watch: second, event: gone("c1") });
    world.input(Input::ConfigReloaded(config(None)));
    let (_, port, since) = *world.follows.last().expect("followed");
    assert_eq!(
        (port, since),
        (2, 0),
        "the catalogue's version says nothing to discovery: the whole list, please"
    );
}

/// When each of a fleet asks for its list: at the start, and after its first watch was lost when it had lasted for so
/// many seconds, with a wait told.
fn fleet_asks(size: u32, lasted: Micros, wait_ms: u64) -> (Vec<Micros>, Vec<Micros>) {
    let asks = |reducer: &mut Reducer, from: Micros| {
        let at = (0..20_000).map(|n| from + n * S / 100).find(|now| {
            let effects = reducer.step(*now, Input::TimerDue);
            effects.iter().any(|effect| matches!(effect, Effect::StartWatch { .. }))
        });
        at.expect("asked") - from
    };
    let one = |seed: u32| {
        let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::targets());
        let text = text.replace("\"fleet_size\":1", &format!("\"fleet_size\":{size}"));
        let mut config = Config::read(&text, None, None).expect("a configuration");
        assert_eq!(config.settings.fleet_size, size);
        (config.seed, config.settings.max_poll_interval) = (u64::from(seed), 10 * S);
        let mut reducer = Reducer::new(config, 0, Vec::new(), 0, START);
        let first = asks(&mut reducer, START);
        let lost = START + first + lasted * S;
        let effects = reducer.step(
            lost,
            Input::WatchEnded {
                watch: 1,
                reason: "it ended".to_owned(),
                retry_after_ms: wait_ms,
                silence: 0,
            },
        );
        let at_once = effects.iter().any(|effect| matches!(effect, Effect::StartWatch { .. }));
        (first, if at_once { 0 } else { asks(&mut reducer, lost) })
    };
    (0..size).map(one).unzip()
}

// Guards against a drain that was told before anybody asked: in a fleet of 300 the calls of a start were spread over 15 s,
// and a request went to an endpoint that had been draining for longer than its grace (the standing test, roll). Also
// against the whole fleet asking in the same moment, and against a lone forwarder that waits for others.
#[test]
fn fleet_starts_its_watches_within_the_drain_grace() {
    for size in [3, 100, 300] {
        let (starts, agains) = fleet_asks(size, 60, 0);
        for (what, asks) in [("at the start", starts), ("after a watch that served", agains)] {
            assert!(asks.iter().all(|at| *at <= S / 4 + S / 100), "{size} {what}: within 250 ms");
            let together =
                (0..26).map(|part| asks.iter().filter(|at| **at / (S / 100) == part).count()).max();
            assert!(together <= Some(2 + size as usize / 10), "{size} {what}: {together:?} within 10 ms");
        }
    }
    assert_eq!(fleet_asks(1, 60, 0).0, [0]);
}

// Guards against a discovery that turned the whole fleet away and is asked by all again in the same moment, or so late
// that a change of the list binds before it is heard.
#[test]
fn rejected_fleet_spreads_its_watches() {
    for (size, most) in [(100, 45), (300, 105)] {
        let (_, agains) = fleet_asks(size, 1, 0);
        let busiest = (0..5).map(|second| agains.iter().filter(|at| **at / S == second).count()).max();
        assert!(busiest <= Some(most), "{size}: {busiest:?} in one second");
        assert!(agains.iter().all(|at| *at <= 4 * S + S / 10), "{size}: within 4 s");
    }
    assert!(fleet_asks(3, 1, 0).1.iter().all(|at| *at <= 7 * S / 10), "a small fleet is back at once");
}

// Guards against a refusal of discovery whose time to come back is not heeded while there is time, or after which the
// whole fleet comes in the same moment; and against one that is heeded, or a slip in it, while a change of the list binds:
// 6 s after discovery had it, whatever was told.
#[test]
fn fleet_with_retry_after_spreads_its_watches_within_the_list_age_limit() {
    let (_, agains) = fleet_asks(100, 60, 1000);
    assert!(agains.iter().all(|at| (S..=5 * S).contains(at)), "{agains:?}");
    for wait in [7000, u64::MAX, u64::MAX / 1000, 1 << 40] {
        let (_, agains) = fleet_asks(100, 60, wait);
        assert!(agains.iter().all(|at| (5 * S / 2..=5 * S + S / 100).contains(at)), "{wait}: {agains:?}");
        let busiest = (2..5).map(|second| agains.iter().filter(|at| **at / S == second).count()).max();
        assert!(busiest <= Some(55), "{wait}: {busiest:?} in one second");
    }
}

// Guards against a list that binds before it is heard: however calls to discovery fail, one after the other, the next
// begins within 5 s of the last word that was heard, or of the call before; a second is left for it.
#[test]
fn next_watch_starts_within_the_list_age_limit_after_any_end() {
    let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::targets());
    for (seed, size) in [(1, 1), (2, 3), (3, 100), (4, 300)] {
        let text = text.replace("\"fleet_size\":1", &format!("\"fleet_size\":{size}"));
        let mut config = Config::read(&text, None, None).expect("a configuration");
        (config.seed, config.settings.max_poll_interval) = (seed, 10 * S);
        let mut reducer = Reducer::new(config, 0, Vec::new(), 0, START);
        let mut now = START;
        // Refused at once, with waits; a dial that hangs; silent before its first line; silent, and dribbling, after it.
        let ways = [
            (0, 0, 0),
            (0, 0, 30_000),
            (0, 0, 1500),
            (S, S, 0),
            (3 * S, 3 * S, 0),
            (9 * S, 3 * S, 0),
            (9 * S, 9 * S / 2, 0),
        ];
        let asks =
            |effects: Vec<Effect>| effects.iter().any(|effect| matches!(effect, Effect::StartWatch { .. }));
        while !asks(reducer.step(now, Input::TimerDue)) {
            now += S / 100;
        }
        for (watch, (lasts, unheard, wait_ms)) in (1..).zip(ways.into_iter().cycle().take(70)) {
            now += lasts;
            let last_word = now - unheard;
            let lost = Input::WatchEnded {
                watch,
                reason: "lost".to_owned(),
                retry_after_ms: wait_ms,
                silence: unheard,
            };
            let mut asked = asks(reducer.step(now, lost));
            while !asked {
                now += S / 100;
                assert!(now - last_word <= 5 * S + S / 100, "{size}: not asked after watch {watch}");
                asked = asks(reducer.step(now, Input::TimerDue));
            }
        }
    }
}

// Guards against an endpoint that is sent to again on the word of an older list, from a discovery that lags; and against a
// forwarder that never follows one that counts its versions anew.
#[test]
fn older_list_activates_no_endpoint_until_confirmed_by_another_watch() {
    let mut world = World::new();
    let told = |world: &mut World, rev: u64, drains: bool| {
        let mut targets = common::targets();
        targets[2].state = if drains { EndpointState::Draining } else { EndpointState::Active };
        let news = WatchEvent { version: rev, is_snapshot: true, endpoints: targets, origin: String::new() };
        let watch = world.follows.last().expect("followed").0;
        world.input(Input::WatchEvent { watch, event: news });
    };
    told(&mut world, 43, true);
    // The same watch goes back, twice: it lags.
    for rev in [41, 42] {
        told(&mut world, rev, false);
        world.submit(format!("m{rev}"), false, 2, 10);
        world.wait(10_000);
        assert!(world.links.is_empty(), "version {rev}: it drains");
    }
    let asked = world.follows.len();
    world.wait(2 * S);
    let (_, _, since) = *world.follows.last().expect("followed");
    assert_eq!((world.follows.len(), since), (asked + 1, 0), "the whole list is asked for once more");
    told(&mut world, 42, false);
    world.wait(10_000);
    assert!(!world.links.is_empty(), "told once more, it holds");
}
