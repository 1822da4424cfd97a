use std::ops::Range;

use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;

use crate::long::Part;

/// A range of a prompt and the runner that computes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// The runner.
    pub runner: Id,
    /// Tokens of the segment.
    pub tokens: Tokens,
    /// Its byte range in the prompt's text.
    pub bytes: Range<usize>,
}

/// Splits a prompt into one segment for each part, in the order in which they are computed.
///
/// The part with the most memory comes last because it also holds the response. Segments end on a
/// character boundary.
pub fn split_prompt(parts: &[Part], prompt: Tokens, text: &[u8]) -> Vec<Segment> {
    let mut ordered: Vec<&Part> = parts.iter().collect();
    ordered.sort_by(|a, b| (a.tokens, &b.runner).cmp(&(b.tokens, &a.runner)));
    let mut segments = Vec::with_capacity(ordered.len());
    let mut assigned = Tokens::ZERO;
    let mut start_byte = 0;
    for (index, part) in ordered.iter().enumerate() {
        let left = prompt.saturating_sub(assigned);
        let is_last = index + 1 == ordered.len();
        let tokens = if is_last { left } else { left.min(part.tokens) };
        assigned = assigned.saturating_add(tokens);
        let end_byte = if is_last { text.len() } else { offset(text, assigned, prompt) };
        segments.push(Segment { runner: part.runner.clone(), tokens, bytes: start_byte..end_byte });
        start_byte = end_byte;
    }
    segments
}

/// Returns the estimated byte offset after `tokens` of a prompt, moved on to the next character
/// boundary.
fn offset(text: &[u8], tokens: Tokens, prompt: Tokens) -> usize {
    let share = text.len() as u128 * u128::from(tokens.get()) / u128::from(prompt.get().max(1));
    let start = text.len().min(share as usize);
    let to_boundary = text[start..].iter().position(|byte| !is_continuation(*byte));
    start + to_boundary.unwrap_or(text.len() - start)
}

/// Returns whether a byte is a UTF-8 continuation byte.
const fn is_continuation(byte: u8) -> bool {
    byte & 0b1100_0000 == 0b1000_0000
}
