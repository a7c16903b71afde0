//! The known name that is nearest to a mistyped one.

/// Edits beyond which two names have nothing to do with each other.
const MAX_DISTANCE: usize = 4;

/// Returns the candidate with the fewest edits to `name`, if it is near at all.
pub(crate) fn nearest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    candidates
        .into_iter()
        .map(|candidate| (distance(name, candidate), candidate))
        .filter(|(edits, candidate)| *edits <= MAX_DISTANCE && *edits < candidate.chars().count())
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, candidate)| candidate)
}

/// Counts the insertions, deletions and substitutions between two names.
fn distance(from: &str, to: &str) -> usize {
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
