//! Finds callers' keys, `tk.<name>.<secret>`, in what is about to be sent to a target.

/// How a key begins.
const PREFIX: &str = "tk.";

/// Fewest hexadecimal digits that count as a secret.
const SECRET_DIGITS: usize = 32;

/// Whether some bytes hold a key.
pub fn contains_key(bytes: &[u8]) -> bool {
    let texts = bytes.utf8_chunks().map(|chunk| chunk.valid());
    let mut words = texts.flat_map(|text| text.match_indices(PREFIX).map(move |at| (text, at.0)));
    words.any(|(text, at)| is_key(&text.as_bytes()[at + PREFIX.len()..]))
}

/// Whether a path or query holds a key, also a percent-encoded one.
pub fn path_contains_key(path: &str) -> bool {
    contains_key(path.as_bytes()) || contains_key(&percent_decode(path.as_bytes()))
}

/// Whether a name, a dot and a secret come next.
fn is_key(rest: &[u8]) -> bool {
    let end = rest.iter().position(|byte| !is_name_byte(*byte));
    let word = &rest[..end.unwrap_or(rest.len())];
    let mut parts = word.split(|byte| *byte == b'.').skip(1);
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
