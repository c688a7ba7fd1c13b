//! Requests at the supervisor's control address.

use orchidyoke_supervisor::protocol::Request;

// Guards against a release named so that something outside of the folder is started.
#[test]
fn upgrade_request_accepts_only_plain_release_names() {
    assert_eq!(Request::parse("upgrade v1.2-rc3"), Ok(Request::Upgrade("v1.2-rc3".into())));
    assert_eq!(Request::parse("show\r"), Ok(Request::Status));
    for line in
        ["upgrade ../sh", "upgrade /bin/sh", "upgrade .hidden", "upgrade ..", "upgrade a/b", "upgrade"]
    {
        assert!(Request::parse(line).is_err(), "{line}");
    }
    assert!(
        Request::parse("upgrade a b").is_err()
            && Request::parse("").is_err()
            && Request::parse("show me").is_err()
    );
}
