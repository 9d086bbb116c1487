//! Detects callers' API keys, `tk.<name>.<secret>`, in data about to be sent to a target.

const PREFIX: &str = "tk.";

/// Minimum number of hexadecimal digits of a secret.
const SECRET_DIGITS: usize = 32;

/// Whether the bytes contain a key, also between bytes that aren't UTF-8.
pub fn contains_key(bytes: &[u8]) -> bool {
    let texts = bytes.utf8_chunks().map(|chunk| chunk.valid());
    let mut matches = texts.flat_map(|text| text.match_indices(PREFIX).map(move |at| (text, at.0)));
    matches.any(|(text, at)| is_key(&text.as_bytes()[at + PREFIX.len()..]))
}

/// Whether a path or query contains a key, plain or percent-encoded.
pub fn path_contains_key(path: &str) -> bool {
    contains_key(path.as_bytes()) || contains_key(&percent_decode(path.as_bytes()))
}

/// Whether `rest`, the text after the prefix, starts with a name, a dot and a secret.
fn is_key(rest: &[u8]) -> bool {
    let end = rest.iter().position(|byte| !is_name_byte(*byte));
    let candidate = &rest[..end.unwrap_or(rest.len())];
    // Names may contain dots, so any part after the first may be the secret.
    let mut parts = candidate.split(|byte| *byte == b'.').skip(1);
    parts.any(|part| {
        part.iter()
            .take_while(|byte| byte.is_ascii_hexdigit())
            .count()
            >= SECRET_DIGITS
    })
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"._:-".contains(&byte)
}

fn percent_decode(path: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path;
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail
            .get(..2)
            .and_then(|pair| std::str::from_utf8(pair).ok());
        let byte = digits.and_then(|pair| u8::from_str_radix(pair, 16).ok());
        match (first, byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                rest = &tail[2..];
            }
            _ => {
                decoded.push(*first);
                rest = tail;
            }
        }
    }
    decoded
}
