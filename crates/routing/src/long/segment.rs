use std::ops::Range;

use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;

use crate::long::Part;

/// A piece of a prompt and the runner that computes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// The runner.
    pub runner: Id,
    /// Tokens of the piece.
    pub tokens: Tokens,
    /// Where its bytes stand in the prompt's text.
    pub bytes: Range<usize>,
}

/// Cuts a prompt into a segment for each part, in the order in which to compute them.
///
/// The part with the most memory comes last, as it has to hold the answer too. A cut stands
/// before the first byte of a character.
pub fn cut(parts: &[Part], prompt: Tokens, text: &[u8]) -> Vec<Segment> {
    let mut order: Vec<&Part> = parts.iter().collect();
    order.sort_by(|a, b| (a.tokens, &b.runner).cmp(&(b.tokens, &a.runner)));
    let mut segments = Vec::with_capacity(order.len());
    let mut done = Tokens::ZERO;
    let mut from = 0;
    for (index, part) in order.iter().enumerate() {
        let left = prompt.saturating_sub(done);
        let is_last = index + 1 == order.len();
        let tokens = if is_last { left } else { left.min(part.tokens) };
        done = done.saturating_add(tokens);
        let to = if is_last { text.len() } else { offset(text, done, prompt) };
        segments.push(Segment { runner: part.runner.clone(), tokens, bytes: from..to });
        from = to;
    }
    segments
}

/// Returns the byte offset after `tokens` of a prompt, before the first byte of a character.
fn offset(text: &[u8], tokens: Tokens, prompt: Tokens) -> usize {
    let share = text.len() as u128 * u128::from(tokens.get()) / u128::from(prompt.get().max(1));
    let start = text.len().min(share as usize);
    let rest = text[start..].iter().position(|byte| !is_continuation(*byte));
    start + rest.unwrap_or(text.len() - start)
}

/// Tells whether a byte of UTF-8 is not the first one of its character.
const fn is_continuation(byte: u8) -> bool {
    byte & 0b1100_0000 == 0b1000_0000
}
