use strsim::jaro_winkler;

/// Least likeness of a suggestion, from 0 to 1.
const MIN_LIKENESS: f64 = 0.75;

/// Returns the known name that is most like `name`, when one is like it at all.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (jaro_winkler(name, candidate), candidate))
        .filter(|(likeness, _)| *likeness >= MIN_LIKENESS)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}
