//! Suggestions for mistyped names.

/// Maximum edit distance of a suggestion.
const MAXIMUM_DISTANCE: usize = 3;

/// Returns the known name with the smallest edit distance to `given`, up to a limit.
pub fn nearest_name<'a>(given: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|name| (edit_distance(given, name), name))
        .filter(|(distance, name)| *distance <= MAXIMUM_DISTANCE && *distance < name.len())
        .min()
        .map(|(_, name)| name)
}

/// Levenshtein distance in bytes.
fn edit_distance(left: &str, right: &str) -> usize {
    let right = right.as_bytes();
    let mut previous: Vec<usize> = (0..=right.len()).collect();
    for (row, left_byte) in left.bytes().enumerate() {
        let mut current = vec![row + 1];
        for (column, right_byte) in right.iter().enumerate() {
            let substitution = previous[column] + usize::from(left_byte != *right_byte);
            let best = substitution.min(previous[column + 1] + 1).min(current[column] + 1);
            current.push(best);
        }
        previous = current;
    }
    previous[right.len()]
}
