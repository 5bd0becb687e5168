//! The few steps of JSON that the stand-ins need: members of an object as raw text, and plain strings.

/// The members of an object, each as its name and its raw value.
pub fn members(text: &str) -> Vec<(String, String)> {
    let bytes = text.trim().as_bytes();
    let mut found = Vec::new();
    if bytes.len() < 2 || bytes[0] != b'{' {
        return found;
    }
    let mut at = 1;
    while let Some((name, next)) = value(bytes, at) {
        let Some((raw, after)) = value(bytes, next) else {
            break;
        };
        found.push((name.trim_matches('"').to_owned(), raw));
        at = after;
    }
    found
}

/// The raw value of a member, found along names.
pub fn get(text: &str, path: &[&str]) -> Option<String> {
    let mut raw = text.to_owned();
    for name in path {
        let found = members(&raw).into_iter().find(|(key, _)| key == name)?;
        raw = found.1;
    }
    Some(raw)
}

/// A plain string member.
pub fn text(body: &str, path: &[&str]) -> Option<String> {
    let raw = get(body, path)?;
    let inner = raw.strip_prefix('"')?.strip_suffix('"')?;
    Some(inner.to_owned())
}

/// Reads one value at a position; returns it with the position after its separator.
fn value(bytes: &[u8], from: usize) -> Option<(String, usize)> {
    let (mut at, mut depth, mut quoted) = (from, 0_usize, false);
    while at < bytes.len() {
        let byte = bytes[at];
        if quoted {
            match byte {
                b'\\' => at += 1,
                b'"' => quoted = false,
                _ => {}
            }
        } else {
            match byte {
                b'"' => quoted = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => break,
                b'}' | b']' => depth -= 1,
                b',' | b':' if depth == 0 => break,
                _ => {}
            }
        }
        at += 1;
    }
    let raw = std::str::from_utf8(bytes.get(from..at)?).ok()?.trim();
    (!raw.is_empty()).then(|| (raw.to_owned(), at + 1))
}
