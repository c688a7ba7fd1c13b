//! Tests of [`super`] that need its private items.

use super::*;

#[test]
fn request_uri_and_timeout_follow_the_settings() {
    let mut settings = Settings::default();
    let wait = Duration::from_secs(30);
    let request = ApiRequest::service("a b/c", None, 0, wait);
    assert_eq!(request.uri(&settings), "/v1/health/service/a%20b%2Fc");
    assert_eq!(request.timeout(), RESPONSE_GRACE);
    settings.consistency = Consistency::Stale;
    settings.datacenter = Some("dc1".to_owned());
    settings.namespace = Some("n s".to_owned());
    let filter = Some("Service.Meta.v == \"2\"".to_owned());
    let request = ApiRequest::service("web", filter.as_ref(), 7, wait);
    let uri = "/v1/health/service/web?index=7&wait=30000ms&stale&dc=dc1&ns=n%20s&\
               filter=Service.Meta.v%20%3D%3D%20%222%22";
    assert_eq!(
        (request.uri(&settings).as_str(), request.timeout()),
        (uri, wait + wait / 16 + RESPONSE_GRACE)
    );
}
