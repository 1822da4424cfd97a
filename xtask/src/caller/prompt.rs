/// Bytes of prompt text that are counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Returns a prompt of `tokens` tokens; prompts of different `seed`s differ within their first
/// 16 bytes.
pub fn prompt(tokens: u64, seed: u64) -> String {
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    let mut text = format!("{seed:016x} ");
    while text.len() < bytes {
        text.push_str("gas odour reported near the market, crew asked ");
    }
    text.truncate(bytes.max(1));
    text
}
