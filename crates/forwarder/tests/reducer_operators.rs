//! Operators' commands to the reducer.

mod common;

use common::SECOND;
use common::world::World;
use orchidyoke_core::endpoint_list::EndpointState;
use orchidyoke_forwarder::config::Config;
use orchidyoke_forwarder::console;
use orchidyoke_forwarder::input::Input;

// Guards against an ejected endpoint that gets calls again without `enable-server`. The endpoint must stay ejected if a
// list drops it and names it again, and after a reload and a restart. One `enable-server` reverts two
// `disable-server`. A command for an endpoint that no list has named is rejected.
#[test]
fn ejected_endpoint_stays_ejected_until_restored() {
    let (eject, restore) =
        (console::Command::DisableServer("s-c".to_owned()), console::Command::EnableServer("s-c".to_owned()));
    let mut world = World::new();
    assert!(
        !world.send_operator_command(console::Command::DisableServer("s-x".to_owned()))
            && !world.send_operator_command(console::Command::EnableServer("s-x".to_owned()))
    );
    assert!(world.send_operator_command(eject.clone()) && world.send_operator_command(eject.clone()));
    world.ejected.insert("s-c".to_owned());
    for state in [EndpointState::Removed, EndpointState::Active] {
        world.list_version += 1;
        world.list[2].state = state;
        let entries = vec![world.list[2].clone()];
        world.update_list(entries);
    }
    let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::endpoint_entries());
    world.input(Input::ConfigReloaded(Box::new(
        Config::read(&text, None, None).expect("the configuration is valid"),
    )));
    world.restart();
    world.submit("m".to_owned(), true, 2, 10);
    world.wait(2 * SECOND);
    assert!(world.connections.is_empty(), "no connection may be opened to an ejected endpoint");
    assert_eq!(world.reducer.gauges().avoided_endpoints, 1);
    assert!(world.send_operator_command(restore.clone()) && world.send_operator_command(restore));
    world.ejected.clear();
    world.wait(SECOND);
    assert_eq!(
        world.connections.len(),
        1,
        "one command must restore the endpoint, and the waiting message must be sent"
    );
    assert!(
        !world.send_operator_command(console::Command::Ready),
        "the process must not be ready, because it accepts no clients"
    );
}

// Guards against a restored endpoint that is overloaded by the waiting messages. It is the only endpoint of its
// destination and was restarted while it was ejected, so only a trial call may be sent at first.
#[test]
fn restored_endpoint_warms_up() {
    let mut world = World::new();
    assert!(world.send_operator_command(console::Command::DisableServer("s-c".to_owned())));
    for number in 0..10 {
        world.submit(format!("m{number}"), true, 2, 10);
    }
    world.wait(SECOND);
    assert!(world.send_operator_command(console::Command::EnableServer("s-c".to_owned())));
    world.wait(4 * SECOND);
    assert!(world.connections.len() <= 1, "only a trial call may be sent");
    assert_eq!(world.reducer.faulty_destinations().count(), 1);
}
