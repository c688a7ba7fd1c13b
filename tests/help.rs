//! Tests that the command line stays the same: its options, their help, and the output of `check` for configurations
//! and settings that are not valid.

#[path = "../crates/forwarder/tests/common/golden.rs"]
mod golden;

use golden::assert_golden;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Runs the program with an empty environment.
fn run(folder: Option<&PathBuf>, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_orchidyoke"));
    command.env_clear().args(arguments);
    if let Some(folder) = folder {
        command.current_dir(folder);
    }
    command.output().expect("program finished")
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("valid UTF-8")
}

#[test]
fn help_of_each_command_stays_the_same() {
    for arguments in [
        &[][..],
        &["serve"],
        &["check"],
        &["rollout"],
        &["policy"],
        &["policy", "propose"],
        &["policy", "status"],
        &["policy", "abort"],
        &["supervise"],
        &["version"],
        &["evaluate-settings"],
    ] {
        let output = run(None, &[arguments, &["--help"]].concat());
        assert!(output.status.success() && output.stderr.is_empty(), "{arguments:?}");
        let name = [&["help"][..], arguments].concat().join("-");
        assert_golden(&format!("{name}.txt"), &text(output.stdout));
    }
}

#[test]
fn short_help_stays_the_same() {
    let mut transcript = String::new();
    for arguments in [&["-h"][..], &["serve", "-h"], &["supervise", "-h"]] {
        transcript += &text(run(None, arguments).stdout);
    }
    assert_golden("short_help.txt", &transcript);
}

#[test]
fn version_output_stays_the_same() {
    let output = run(None, &["version"]);
    assert_eq!(text(output.stdout), concat!("orchidyoke ", env!("CARGO_PKG_VERSION"), "\n"));
}

#[test]
fn options_are_read_from_the_environment_by_the_same_names() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_orchidyoke"));
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
    command.env_clear().env("EDGE_CONFIG", config).env("EDGE_LISTEN", "127.0.0.1:8123");
    command.env("EDGE_DISCOVERY", "127.0.0.1:8456").arg("check");
    let output = command.output().expect("program finished");
    assert!(output.status.success());
    let printed = text(output.stdout);
    assert!(printed.contains("127.0.0.1:8123") && printed.contains("127.0.0.1:8456"), "{printed}");
}

const CONFIG: &str = include_str!("../examples/config.json");

/// A temporary folder for one test, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("help-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("folder created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn check_output_for_an_invalid_configuration_stays_the_same() {
    let folder = Folder::new("config");
    let mut transcript = String::new();
    for (part, replacement) in [
        ("{\n  \"name\"", "{\n  name"),
        ("\"settings\"", "\"setings\""),
        ("\"known\"", "\"unknown\""),
        ("\"rev\": 1,", ""),
        ("\"state\": \"in_service\"", "\"state\": \"out\""),
        ("\"127.0.0.1:8600\"", "\"nowhere\""),
        ("\"sockets\": 1024", "\"sockets\": 63"),
        ("\"sockets\": 1024, ", ""),
        ("\"disk_mb\": 3", "\"disk_mb\": 0"),
        ("8c1f30d27a5be964", "seed"),
        ("127.0.0.1:8000", "somewhere"),
        ("  \"listen\": \"127.0.0.1:8000\",\n", ""),
        ("  \"discovery\": \"127.0.0.1:8500\",\n", ""),
        ("\"discovery\"", "\"console\": \"here\", \"discovery\""),
        ("\"retryable\"", "\"repeatable\""),
        ("\"on_time_us\": 1000000, ", ""),
        ("\"host_types\"", "\"hosts\""),
        ("\"slots\": 14", "\"slots\": 0"),
        ("\"dial_timeout_us\": 1000000, ", ""),
        ("\"idle_close_us\": 10000000, ", ""),
        ("\"try_limit\": 8", "\"try_limit\": -8"),
        ("\"classes\"", "\"kinds\""),
    ] {
        assert!(CONFIG.contains(part), "{part}");
        std::fs::write(folder.0.join("config.json"), CONFIG.replace(part, replacement))
            .expect("file written");
        let output = run(Some(&folder.0), &["check", "--config", "config.json"]);
        assert!(!output.status.success() && output.stdout.is_empty(), "{part}: {replacement}");
        transcript += &format!("{part:?} -> {replacement:?}\n{}", text(output.stderr));
    }
    assert_golden("check_bad_configurations.txt", &transcript);
}

#[test]
fn check_output_without_a_file_stays_the_same() {
    let folder = Folder::new("none");
    let mut transcript = String::new();
    for arguments in [
        &["check"][..],
        &["check", "--config", "none.json"],
        &["check", "--settings", "none.star"],
        &["check", "--console", "here", "--config", "none.json"],
    ] {
        let output = run(Some(&folder.0), arguments);
        assert!(!output.status.success() && output.stdout.is_empty(), "{arguments:?}");
        transcript += &format!("{arguments:?}\n{}", text(output.stderr));
    }
    assert_golden("check_nothing.txt", &transcript);
}

#[test]
fn check_output_for_invalid_settings_stays_the_same() {
    let folder = Folder::new("settings");
    std::fs::write(folder.0.join("config.json"), CONFIG).expect("file written");
    let consul = |more: &str| {
        format!(
            "consul(addresses = [\"127.0.0.1:8500\"], networks = [\"127.0.0.0/8\"], services = [service(name = \"shops\", \
             destination = 7, {more})])\n"
        )
    };
    let mut transcript = String::new();
    for script in [
        "x = \n".to_owned(),
        "konsul()\n".to_owned(),
        "consul(adresses = [])\n".to_owned(),
        "policy()\n".to_owned(),
        "policy(addresses = [\"127.0.0.1:8500\"], ttl = \"1ms\")\n".to_owned(),
        "tls(ca = \"none.pem\")\n".to_owned(),
        consul("kind = \"shop\", zone = \"a\""),
        consul("kind = \"shops\", zone = \"b\""),
    ] {
        std::fs::write(folder.0.join("edge.star"), &script).expect("file written");
        let arguments = ["check", "--config", "config.json", "--settings", "edge.star"];
        let output = run(Some(&folder.0), &arguments);
        assert!(!output.status.success(), "{script}");
        transcript += &format!("{script}{}", text(output.stderr));
    }
    assert_golden("check_bad_settings.txt", &transcript);
}
