//! Suggestions for mistyped names.

/// Returns the candidate that is most similar to `name`, if its similarity is at least
/// `min_similarity`.
///
/// The similarity is the Jaro-Winkler similarity, from 0 (nothing in common) to 1 (equal).
pub fn nearest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
    min_similarity: f64,
) -> Option<&'a str> {
    candidates
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= min_similarity)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, candidate)| candidate)
}
