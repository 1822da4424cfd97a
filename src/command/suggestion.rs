use strsim::jaro_winkler;

/// Minimum Jaro-Winkler similarity of a suggestion, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.75;

/// Returns the known name that is most similar to `name`, or `None` when none is similar enough.
pub fn closest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}
