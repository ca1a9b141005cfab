//! Header fields of messages that are passed on. Each connection frames its messages by itself (RFC
//! 9110, 7.6; RFC 9112, 6), so nothing that frames a message on one holds on the next.

#[cfg(test)]
mod tests;

use hyper::header::{
    ACCEPT_RANGES, CONNECTION, CONTENT_LENGTH, CONTENT_RANGE, CONTENT_TYPE, ETAG, HeaderMap,
    HeaderName, TRANSFER_ENCODING,
};
use hyper::{Method, StatusCode};

/// Whether a status is one of HTTP (RFC 9110, 15). hyper accepts any number from 100 to 999.
///
/// ```
/// use hyper::StatusCode;
/// use jujubeusher::http::framing::is_valid_status;
/// assert!(is_valid_status(StatusCode::OK));
/// assert!(!is_valid_status(StatusCode::from_u16(999).unwrap()));
/// ```
pub fn is_valid_status(status: StatusCode) -> bool {
    status.as_u16() < 600
}

/// Fields of a single connection (RFC 9110, 7.6.1).
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Fields that describe the bytes of one server's body: digests (RFC 9530, and RFC 3230 and 1864
/// before it), the entity tag, and ranges.
const BODY_FIELDS: [HeaderName; 7] = [
    HeaderName::from_static("content-digest"),
    HeaderName::from_static("repr-digest"),
    HeaderName::from_static("digest"),
    HeaderName::from_static("content-md5"),
    ETAG,
    ACCEPT_RANGES,
    CONTENT_RANGE,
];

/// Fields of a message that pass through from end to end: without those of its connection, without
/// those that its sender lists in `Connection`, and without its length, which belongs to the body
/// as it is sent.
///
/// ```
/// use hyper::header::{HeaderMap, HeaderName, HeaderValue};
/// use jujubeusher::http::framing::end_to_end_fields;
/// let fields = [("content-type", "text/plain"), ("content-length", "5"), ("te", "gzip")];
/// let fields = fields.map(|(name, value)| {
///     (HeaderName::from_static(name), HeaderValue::from_static(value))
/// });
/// let passed: HeaderMap = end_to_end_fields(&fields.into_iter().collect());
/// assert_eq!(passed.keys().collect::<Vec<_>>(), ["content-type"]);
/// ```
pub fn end_to_end_fields(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_passed = |name: &HeaderName| {
        !CONNECTION_FIELDS.contains(&name.as_str())
            && *name != CONTENT_LENGTH
            && !listed.iter().any(|listed| listed == name.as_str())
    };
    let passed = headers.iter().filter(|(name, _)| is_passed(name));
    passed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Fields of a response whose body is passed on whole, or which has none. The length of a response
/// to HEAD and of status 304 says how long another response would be, and stays.
///
/// ```
/// use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
/// use hyper::{Method, StatusCode};
/// use jujubeusher::http::framing::whole_body_fields;
/// let sent = HeaderMap::from_iter([(CONTENT_LENGTH, HeaderValue::from_static("5"))]);
/// assert!(whole_body_fields(&Method::GET, StatusCode::OK, &sent).is_empty());
/// assert_eq!(whole_body_fields(&Method::HEAD, StatusCode::OK, &sent), sent);
/// ```
pub fn whole_body_fields(method: &Method, status: StatusCode, headers: &HeaderMap) -> HeaderMap {
    let mut passed = end_to_end_fields(headers);
    let describes_another = *method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
    if let Some(length) = headers.get(CONTENT_LENGTH).filter(|_| describes_another) {
        passed.insert(CONTENT_LENGTH, length.clone());
    }
    passed
}

/// Fields of a response whose body is not that of one server: others may go on with it, and events
/// may be left out.
///
/// ```
/// use hyper::header::{ETAG, HeaderMap, HeaderValue};
/// use jujubeusher::http::framing::joined_body_fields;
/// let sent = HeaderMap::from_iter([(ETAG, HeaderValue::from_static("\"a\""))]);
/// assert!(joined_body_fields(&sent).is_empty());
/// ```
pub fn joined_body_fields(headers: &HeaderMap) -> HeaderMap {
    let mut passed = end_to_end_fields(headers);
    for name in BODY_FIELDS {
        passed.remove(name);
    }
    passed
}

/// Type of a body in lower case, without parameters; `None` if it is not stated or not text.
///
/// ```
/// use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
/// use jujubeusher::http::framing::media_type;
/// let value = HeaderValue::from_static("Text/Event-Stream; charset=utf-8");
/// let headers = HeaderMap::from_iter([(CONTENT_TYPE, value)]);
/// assert_eq!(media_type(&headers).as_deref(), Some("text/event-stream"));
/// ```
pub fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media_type = value.split(';').next().unwrap_or_default();
    Some(media_type.trim().to_ascii_lowercase())
}

/// Whether a message has a transfer coding other than `chunked`. It frames the message on its
/// connection alone, but hyper decodes only `chunked`, so that the body would be passed on in a
/// coding that no field states.
///
/// ```
/// use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
/// use jujubeusher::http::framing::is_transfer_coded;
/// let coded = |value| {
///     is_transfer_coded(&HeaderMap::from_iter([(TRANSFER_ENCODING, HeaderValue::from_static(value))]))
/// };
/// assert!(!coded("Chunked"));
/// assert!(coded("gzip, chunked"));
/// ```
pub fn is_transfer_coded(headers: &HeaderMap) -> bool {
    let values = headers.get_all(TRANSFER_ENCODING).iter();
    let mut codings = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    codings.any(|coding| !coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
