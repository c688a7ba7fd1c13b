//! Tests of valid and invalid scripts. Each error must have its location.

use orchidyoke_config::{EvaluationLimits, Installation, evaluate};
use orchidyoke_core::settings::Names;
use std::path::Path;

fn run(text: &str) -> Result<Installation, String> {
    let limits = EvaluationLimits { max_ticks: 100_000, max_heap_bytes: 4 << 20, max_call_depth: 50 };
    evaluate(Path::new("site/edge.star"), text.to_owned(), limits).map_err(|error| error.to_string())
}

const VALID: &str = r#"
shops = {"refunds": 7, "pickups": 9}

def follow(name):
    return service(name = name, destination = shops[name], kind = "one", zone = "a", capacity = 20)

consul(
    addresses = ["127.0.0.1:8500"],
    services = [follow(name) for name in shops],
    networks = ["127.0.0.0/8", "fd00::/8"],
    wait = "10s",
    consistency = "stale",
    connections = 16,
)
"#;

#[test]
fn script_yields_the_services_to_follow() {
    let consul = run(VALID).expect("the script is valid").consul.expect("the script requests Consul");
    let services: Vec<_> = consul
        .services
        .iter()
        .map(|service| (service.name.as_str(), service.destination, service.capacity))
        .collect();
    assert_eq!(services, [("refunds", 7, 20.0), ("pickups", 9, 20.0)]);
    assert_eq!((consul.wait.as_secs(), consul.connections, consul.networks.len()), (10, 16, 2));
    assert_eq!(run("x = 1"), Ok(Installation::default()), "the script requests nothing");
}

#[test]
fn settings_id_changes_only_with_the_script() {
    let id =
        |text: &str| run(text).expect("the script is valid").consul.expect("the script requests Consul").id();
    assert_eq!(id(VALID), id(VALID));
    assert_ne!(id(VALID), id(&VALID.replace("10s", "11s")));
}

// Guards against an invalid script that is applied in part, and against an error without its location or a remedy.
#[test]
fn each_script_error_has_its_location_and_a_remedy() {
    let cases = [
        ("x = ", "edge.star:1:5: ", "Parse error"),
        ("consul(adresses = [])", ":1:1: ", "there is no field \"adresses\": is \"addresses\" meant?"),
        ("\n\n  consul()", ":3:", "arse error"),
        ("consul(services = [], networks = [])", ":1:1: ", "missing field `addresses`"),
        ("service(name = \"a\", destination = -1, kind = \"one\", zone = \"a\")", ":1:1: ", "destination: "),
        ("service(name = \"\", destination = 1, kind = \"one\", zone = \"a\")", ":1:1: ", "name: is empty"),
        (
            "service(name = \"a\", destination = 1, kind = \"one\", zone = \"a\", capacity = -2.0)",
            ":1:1: ",
            "calls a second",
        ),
        ("def f():\n    return nothing\nf()", ":2:12: ", "nothing"),
        ("tls(ca = \"none.pem\")", ":1:1: ", "site/none.pem"),
        ("load(\"//other.star\", \"x\")", ":1:", "load"),
    ];
    for (text, location, expected_reason) in cases {
        let error = run(text).expect_err(text);
        assert!(
            error.starts_with("site/edge.star:")
                && error.contains(location)
                && error.contains(expected_reason),
            "{error}"
        );
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}

// Guards against a value that is accepted though it cannot be used.
#[test]
fn each_unusable_consul_parameter_has_the_location_of_its_call_and_a_remedy() {
    let cases = [
        ("\"127.0.0.1:8500\"", "\"consul.example:8500\"", "names are not looked up"),
        ("[\"127.0.0.1:8500\"]", "[]", "addresses: is empty"),
        ("\"127.0.0.0/8\"", "\"127.0.0.1/8\"", "is 127.0.0.0/8 meant?"),
        ("\"127.0.0.0/8\"", "\"0.0.0.0/0\"", "allows every address"),
        ("\"127.0.0.0/8\"", "\"loopback\"", "write an address and a length"),
        ("\"stale\"", "\"stail\"", "is \"stale\" meant?"),
        ("\"10s\"", "\"10 parsecs\"", "is not a duration from 1s to 10m"),
        ("\"10s\"", "\"10ms\"", "is not a duration from 1s to 10m"),
        ("= 16", "= 0", "at least 1"),
        ("connections = 16,", "max_stale = \"2h\",", "is not a duration from 100ms to 1h"),
        ("consistency = \"stale\"", "max_stale = \"5s\"", "is valid only with consistency = \"stale\""),
        ("connections = 16,", "max_stale = \"5s\",", ""),
        ("[follow(name) for name in shops]", "[follow(\"refunds\"), follow(\"refunds\")]", "twice"),
        ("\"pickups\": 9", "\"pickups\": 7", ""),
        ("connections = 16,", "token_file = \"none\",", "token_file: site/none"),
    ];
    for (original, replacement, expected_reason) in cases {
        let text = VALID.replace(original, replacement);
        assert_ne!(text, VALID);
        match run(&text) {
            Ok(_) => assert_eq!(expected_reason, "", "{replacement}"),
            Err(error) => {
                assert!(
                    !expected_reason.is_empty()
                        && error.contains(expected_reason)
                        && error.contains("star:7:1: "),
                    "{error}"
                )
            }
        }
    }
}

#[test]
fn destination_of_two_kinds_and_a_second_consul_call_are_rejected() {
    let mixed = VALID.replace("kind = \"one\"", "kind = name").replace("\"pickups\": 9", "\"pickups\": 7");
    assert!(
        run(&mixed).expect_err("mixed").contains("destination 7 is of kind \"refunds\" and of \"pickups\"")
    );
    let twice = format!("{VALID}\n{}", &VALID[VALID.find("consul(").expect("there")..]);
    assert!(run(&twice).expect_err("twice").contains("the endpoint list has one source"));
}

// Guards against a script that keeps the evaluator busy or uses up its memory.
#[test]
fn runaway_script_is_stopped() {
    let cases = [
        "def f():\n    for i in range(1000000000):\n        pass\nf()",
        "def f():\n    x = []\n    for i in range(90000):\n        x.append(\"a\" * 1000 + str(i))\nf()",
        "def f(n):\n    return f(n + 1)\nf(0)",
    ];
    for text in cases {
        let error = run(text).expect_err(text);
        assert!(error.lines().count() == 1, "{error}");
    }
}

#[test]
fn kinds_and_zones_must_exist_in_the_platform_settings() {
    let installation = run(VALID).expect("the script is valid");
    let names = |kinds: &[&str], zones: &[&str]| Names {
        kinds: kinds.iter().map(|kind| (*kind).to_owned()).collect(),
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
        ..Names::default()
    };
    assert_eq!(installation.check(&names(&["one"], &["a"]), 1024), Vec::<String>::new());
    let errors = installation.check(&names(&["ones"], &["b"]), 64);
    assert_eq!(
        errors.len(),
        5,
        "two services have two errors each, and the connections have one: {errors:?}"
    );
    assert!(errors[0].contains("is \"ones\" meant?") && errors[4].contains("at most 8"), "{errors:?}");
}
