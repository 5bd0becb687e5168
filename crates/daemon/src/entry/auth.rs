//! Reads the bearer key of a request.

use salvo::http::HeaderMap;
use salvo::http::header::AUTHORIZATION;

const BEARER: &str = "Bearer ";

/// The bearer key of a request; `None` if it is missing, empty or not text.
pub fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix(BEARER)?.trim();
    (!key.is_empty()).then_some(key.as_bytes())
}
