//! Seeded text for prompts.

/// Words that prompts are made of.
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

/// Makes a text of so many words; `mark` makes it unlike any other.
pub(super) fn make_text(rng: &mut fastrand::Rng, mark: &str, words: usize) -> String {
    let mut text = String::with_capacity(words * 8 + mark.len());
    text.push_str(mark);
    for _ in 0..words {
        text.push(' ');
        text.push_str(WORDS[rng.usize(..WORDS.len())]);
    }
    text
}
