//! Identifiers used across the crate.
//!
//! All of them alias plain types. They are compared, hashed and printed, but never used in
//! arithmetic.

/// A position in a log stream. The first record has offset 1; 0 means "before any record".
pub type Offset = u64;

/// The offset of the claim that made a node the owner of a partition; 0 means "no owner yet".
///
/// It serves as the fencing token of every action of that owner.
pub type Epoch = Offset;

/// Index of a partition. Programs are hashed into a fixed number of partitions.
pub type Partition = u16;

/// A program's id, issued by the system. See [`program_id`] for its layout.
pub type ProgramId = u128;

/// A call's id, issued by the system, unique across programs.
pub type CallId = u128;

/// A branch of a program: 0 is the main branch, higher numbers are sub-agents.
pub type BranchId = u32;

/// A client account: a customer organisation, as named in the environment document.
pub type ClientAccountId = String;

/// An environment, as named by its operators.
pub type EnvironmentId = String;

/// A process of this system, as named in its settings.
pub type NodeId = String;

/// An endpoint, either a model engine or a service. It shares the id of its sidecar.
pub type EndpointId = NodeId;

/// A failure domain, as named in the settings.
pub type FailureDomain = String;

/// One run of a process. A new value is drawn on each start, which distinguishes a restart from a
/// pause.
pub type Incarnation = u64;

/// A model's name as callers write it.
pub type ModelId = String;

/// BLAKE3 hash that links a turn to its predecessor.
pub type TurnHash = [u8; 32];

/// Number of random low bits in a program id, below the time of issue.
const ISSUE_SHIFT_BITS: u32 = 80;

/// Builds a program id from the time of issue (Unix milliseconds, 48 bits) and 80 random bits.
///
/// ```
/// use galenapick::ids::{issued_ms, program_id};
///
/// let id = program_id(1_700_000_000_000, 42);
/// assert_eq!(issued_ms(id), 1_700_000_000_000);
/// ```
pub fn program_id(issued_ms: u64, random: u128) -> ProgramId {
    let low = random & ((1 << ISSUE_SHIFT_BITS) - 1);
    (u128::from(issued_ms) << ISSUE_SHIFT_BITS) | low
}

/// Extracts the time of issue from a program id, in Unix milliseconds.
pub fn issued_ms(id: ProgramId) -> u64 {
    (id >> ISSUE_SHIFT_BITS) as u64
}

/// Returns the partition of a program. Zero `partitions` counts as one.
pub fn partition_of(id: ProgramId, partitions: Partition) -> Partition {
    let low = id as u64;
    (low % u64::from(partitions.max(1))) as Partition
}

/// Formats an id as 32 hexadecimal digits, the form used in the caller interface.
pub fn format_id(id: u128) -> String {
    format!("{id:032x}")
}

/// Parses an id in the format of [`format_id`]; `None` if the text is malformed.
pub fn parse_id(text: &str) -> Option<u128> {
    if text.len() != 32 {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}
