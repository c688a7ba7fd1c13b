//! Requests at the supervisor's control address.

use orchidyoke_supervisor::control::{Call, parse};

// Guards against a release named so that something outside of the folder is started.
#[test]
fn a_release_is_a_plain_name() {
    assert_eq!(parse("upgrade v1.2-rc3"), Ok(Call::Upgrade("v1.2-rc3".into())));
    assert_eq!(parse("show\r"), Ok(Call::Show));
    for line in
        ["upgrade ../sh", "upgrade /bin/sh", "upgrade .hidden", "upgrade ..", "upgrade a/b", "upgrade"]
    {
        assert!(parse(line).is_err(), "{line}");
    }
    assert!(parse("upgrade a b").is_err() && parse("").is_err() && parse("show me").is_err());
}
