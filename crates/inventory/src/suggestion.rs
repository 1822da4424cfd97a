//! Suggestions for mistyped names.

/// Returns the candidate most similar to `name`, when its similarity is at least `min`.
///
/// Similarity runs from 0 (nothing in common) to 1 (the same).
pub fn nearest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
    min: f64,
) -> Option<&'a str> {
    candidates
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= min)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, candidate)| candidate)
}
