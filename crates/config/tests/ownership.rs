//! Tests of `ownership(...)` in a script with valid settings, and with each kind of invalid settings.

use orchidyoke_config::{EvaluationLimits, Installation, evaluate};
use orchidyoke_core::settings::Names;
use std::path::Path;

const VALID: &str = r#"
ownership(
    name = "f2",
    region = "north",
    regions = {"north": ["a", "b"], "south": ["c"]},
    members = [
        member(name = "f1", zone = "a", address = "10.0.0.1:8080"),
        member(name = "f2", zone = "b", address = "10.0.0.2:8080", weight = 2.5),
        member(name = "f3", region = "south", zone = "c", address = "10.0.0.3:8080"),
    ],
)
"#;

fn run(text: &str) -> Result<Installation, String> {
    evaluate(Path::new("site/edge.star"), text.to_owned(), EvaluationLimits::default())
        .map_err(|error| error.to_string())
}

#[test]
fn script_returns_the_members_of_this_forwarders_region() {
    let ownership =
        run(VALID).expect("the script is valid").ownership.expect("the script requests ownership");
    let members: Vec<_> =
        ownership.members.iter().map(|member| (member.name.as_str(), member.weight)).collect();
    assert_eq!(members, [("f1", 1.0), ("f2", 2.5)]);
    assert_eq!((ownership.name.as_str(), ownership.region.as_str(), ownership.regions), ("f2", "north", 2));
    let view = ownership.view().expect("a view");
    assert!((1..100).any(|destination| view.owner(destination).is_some_and(|member| member.name == "f1")));
}

// Guards against invalid settings that are applied in part, or replaced by a guess.
#[test]
fn invalid_settings_are_rejected_with_their_location() {
    for (original, replacement, expected_reason) in [
        (
            "region = \"north\"",
            "region = \"norht\"",
            "region: there is no region \"norht\": is \"north\" meant?",
        ),
        ("region = \"south\"", "region = \"west\"", "members[2]: there is no region \"west\""),
        ("zone = \"a\"", "zone = \"c\"", "members[0]: there is no zone \"c\""),
        ("name = \"f1\"", "name = \"f2\"", "members: two forwarders are called f2"),
        ("name = \"f1\"", "name = \"\"", "members: the forwarder at 10.0.0.1:8080 has no name"),
        (
            "    name = \"f2\",\n    region",
            "    name = \"f9\",\n    region",
            "name: there is no member \"f9\"",
        ),
        (
            "    name = \"f2\",\n    region",
            "    name = \"f3\",\n    region",
            "\"f3\", the name of this forwarder, is in region \"south\"",
        ),
        ("weight = 2.5", "weight = \"heavy\"", "member: weight: "),
        ("weight = 2.5", "weight = None", "member: weight: "),
        ("weight = 2.5", "weight = float(\"nan\")", "weight"),
        ("weight = 2.5", "weight = float(\"inf\")", "weight"),
        ("weight = 2.5", "weight = 0", "the weight of f2 is 0: it has to be a finite number above 0"),
        ("weight = 2.5", "weight = -1.0", "the weight of f2 is -1"),
        ("10.0.0.1:8080", "f1.example:8080", "names are not looked up"),
        ("10.0.0.1:8080", "10.0.0.2:8080", "have the same address, 10.0.0.2:8080"),
        ("weight = 2.5", "wieght = 2.5", "is \"weight\" meant?"),
    ] {
        let text = VALID.replacen(original, replacement, 1);
        assert_ne!(text, VALID, "{original}");
        let error = run(&text).expect_err(replacement);
        assert!(error.contains(expected_reason) && error.contains("edge.star:"), "{replacement}: {error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
    assert!(run(&format!("{VALID}{VALID}")).expect_err("twice").contains("one region"));
}

#[test]
fn zones_unknown_to_the_platform_are_rejected() {
    let installation = run(VALID).expect("the script is valid");
    let names = |zones: &[&str]| Names {
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
        ..Names::default()
    };
    assert_eq!(installation.check(&names(&["a", "b"]), 1024), Vec::<String>::new());
    let errors = installation.check(&names(&["a"]), 1024);
    assert!(
        errors.len() == 1 && errors[0].contains("ownership: regions: there is no zone \"b\""),
        "{errors:?}"
    );
}
