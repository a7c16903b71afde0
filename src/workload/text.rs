//! Random prompt text, reproducible from a seed.

/// Vocabulary of the generated prompts.
const WORDS: [&str; 32] = [
    "adopt",
    "balance",
    "booking",
    "bring",
    "carpenter",
    "certificate",
    "credit",
    "elder",
    "fence",
    "garden",
    "gate",
    "gift",
    "hours",
    "keeper",
    "lesson",
    "letter",
    "match",
    "member",
    "mend",
    "morning",
    "neighbour",
    "offer",
    "otter",
    "panda",
    "photo",
    "repair",
    "shop",
    "shopping",
    "student",
    "tutor",
    "update",
    "week",
];

/// Returns `prefix` followed by `words` random words. A unique prefix makes the whole text unique.
pub(super) fn make_text(rng: &mut fastrand::Rng, prefix: &str, words: usize) -> String {
    let mut text = String::with_capacity(words * 8 + prefix.len());
    text.push_str(prefix);
    for _ in 0..words {
        text.push(' ');
        text.push_str(WORDS[rng.usize(..WORDS.len())]);
    }
    text
}
