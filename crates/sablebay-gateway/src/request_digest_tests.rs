//! Tests which differences between requests change the digest.

use std::sync::OnceLock;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use sablebay_model::{FleetName, Micros, RequestDigest};

use crate::answer::AnswerScope;
use crate::call::ForwardedRequest;
use crate::request_digest::DigestKey;

const CALLER_HEADERS: [&str; 2] = ["authorization", "cookie"];

fn request(
    method: Method,
    uri: &str,
    headers: &[(&'static str, &'static str)],
    body: &'static str,
) -> ForwardedRequest {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    ForwardedRequest {
        id: HeaderValue::from_static("an-attempt"),
        method,
        uri: uri.parse().expect("a path"),
        headers: map,
        body: Bytes::from_static(body.as_bytes()),
        route: "search".to_string(),
        scope: AnswerScope::Whole,
        caller_deadline: Micros(0),
        digest: OnceLock::new(),
    }
}

fn digest_under(secret: &str, request: &ForwardedRequest) -> RequestDigest {
    let key = DigestKey::new(&FleetName::new("fleet"), Some(secret));
    key.digest(request, CALLER_HEADERS)
}

fn digest(request: &ForwardedRequest) -> RequestDigest {
    digest_under("a key", request)
}

const HEADERS: [(&str, &str); 4] =
    [("host", "desk.example"), ("authorization", "one"), ("x-attempt", "1"), ("accept", "*/*")];

#[test]
fn attempts_of_one_request_are_the_same() {
    let first = request(Method::POST, "/search/1?page=2", &HEADERS, "flour");
    let reordered =
        [("accept", "text/plain"), ("x-attempt", "2"), ("authorization", "one"), ("host", "DESK.example")];
    let again = request(Method::POST, "/search/1?page=2", &reordered, "flour");
    assert_eq!(digest(&first), digest(&again));
    assert_eq!(first.digest.get(), None, "the digest is computed only on request");
}

#[test]
fn another_caller_path_host_method_or_body_is_another_request() {
    let known = digest(&request(Method::POST, "/search/1?page=2", &HEADERS, "flour"));
    let with = |name: &'static str, value: &'static str| {
        HEADERS.map(|header| if header.0 == name { (name, value) } else { header })
    };
    let others = [
        request(Method::POST, "/search/1?page=2", &with("authorization", "two"), "flour"),
        request(Method::POST, "/search/1?page=2", &with("host", "portal.example"), "flour"),
        request(Method::POST, "/search/1?page=2", &[HEADERS[0], HEADERS[2], HEADERS[3]], "flour"),
        request(Method::POST, "/search/1?page=2", &HEADERS, "flour "),
        request(Method::POST, "/search/1?page=2", &HEADERS, ""),
        request(Method::POST, "/search/1?page=3", &HEADERS, "flour"),
        request(Method::POST, "/search/1", &HEADERS, "flour"),
        request(Method::POST, "/search/11?page=2", &HEADERS, "flour"),
        request(Method::PUT, "/search/1?page=2", &HEADERS, "flour"),
    ];
    for other in &others {
        assert_ne!(digest(other), known, "{other:?}");
    }
}

#[test]
fn parts_do_not_run_into_one_another() {
    let one = request(Method::GET, "/search", &[("host", "a"), ("cookie", "b")], "");
    let other = request(Method::GET, "/search", &[("host", "a")], "cookieb");
    assert_ne!(digest(&one), digest(&other));
}

#[test]
fn fleets_with_other_keys_name_it_otherwise() {
    let known = request(Method::GET, "/search", &HEADERS, "");
    assert_ne!(digest_under("a key", &known), digest_under("another", &known));
}
