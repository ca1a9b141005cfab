use hyper::header::HeaderValue;

use super::*;

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    pairs.collect()
}

#[test]
fn end_to_end_fields_drop_the_connection_and_the_length() {
    let sent = headers(&[
        ("connection", "close, X-Private"),
        ("x-private", "a"),
        ("transfer-encoding", "chunked"),
        ("trailer", "x-sum"),
        ("content-length", "5"),
        ("content-type", "text/plain"),
        ("etag", "\"a\""),
    ]);
    let passed = end_to_end_fields(&sent);
    let names: Vec<&str> = passed.keys().map(HeaderName::as_str).collect();
    assert_eq!(names, ["content-type", "etag"]);
}

/// Guards against a length that the router did not count on a body that it sends.
#[test]
fn whole_body_fields_keep_only_lengths_of_other_responses() {
    let sent = headers(&[("content-length", "17")]);
    let length = |method: Method, status| {
        let passed = whole_body_fields(&method, status, &sent);
        passed.contains_key(CONTENT_LENGTH)
    };
    assert!(length(Method::HEAD, StatusCode::OK));
    assert!(length(Method::GET, StatusCode::NOT_MODIFIED));
    assert!(!length(Method::GET, StatusCode::OK));
    assert!(!length(Method::GET, StatusCode::NO_CONTENT));
}

/// Guards against a digest or an entity tag of one server's body on a joined one.
#[test]
fn joined_body_fields_describe_no_bytes() {
    let sent = headers(&[
        ("content-length", "17"),
        ("content-digest", "sha-256=:AA==:"),
        ("etag", "\"a\""),
        ("content-range", "bytes 0-8/99"),
        ("cache-control", "no-store"),
    ]);
    let passed = joined_body_fields(&sent);
    let names: Vec<&str> = passed.keys().map(HeaderName::as_str).collect();
    assert_eq!(names, ["cache-control"]);
}
