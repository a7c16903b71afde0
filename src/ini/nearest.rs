//! Suggestions for mistyped names, by edit distance.

/// Largest edit distance at which a name is suggested.
const MAX_DISTANCE: usize = 4;

/// Returns the candidate with the smallest edit distance to `name`. Candidates whose distance exceeds
/// [`MAX_DISTANCE`], or is not less than their own length, are ignored.
pub(crate) fn nearest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    candidates
        .into_iter()
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(edits, candidate)| *edits <= MAX_DISTANCE && *edits < candidate.chars().count())
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance between two names.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (i, a) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in to.iter().enumerate() {
            let substitution = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[to.len()]
}
