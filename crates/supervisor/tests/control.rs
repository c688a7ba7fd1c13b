//! Requests at the supervisor's control address.

use orchidyoke_supervisor::control::{Request, parse_request};

// Guards against a release named so that something outside of the folder is started.
#[test]
fn a_release_is_a_plain_name() {
    assert_eq!(parse_request("upgrade v1.2-rc3"), Ok(Request::Upgrade("v1.2-rc3".into())));
    assert_eq!(parse_request("show\r"), Ok(Request::Status));
    for line in
        ["upgrade ../sh", "upgrade /bin/sh", "upgrade .hidden", "upgrade ..", "upgrade a/b", "upgrade"]
    {
        assert!(parse_request(line).is_err(), "{line}");
    }
    assert!(
        parse_request("upgrade a b").is_err()
            && parse_request("").is_err()
            && parse_request("show me").is_err()
    );
}
