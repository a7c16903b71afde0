//! Identifiers used across the crate.
//!
//! All are aliases of plain types: they are compared, hashed and printed, never computed with.

/// A position in a log stream. The first record has offset 1; 0 means "before any record".
pub type Offset = u64;

/// The offset of the claim that made a node the owner of a partition; 0 means "no owner yet".
///
/// It is the fencing number of everything that the owner does.
pub type Epoch = Offset;

/// One of the fixed number of groups into which programs are hashed.
pub type Partition = u16;

/// A program's id, issued by the system. See [`program_id`].
pub type ProgramId = u128;

/// A call's id, issued by the system, unique across programs.
pub type CallId = u128;

/// A branch of a program: 0 is the program itself, others are its sub-agents.
pub type BranchId = u32;

/// A client account: a customer organisation, as named in the environment document.
pub type ClientAccountId = String;

/// An environment, as named by its operators.
pub type EnvironmentId = String;

/// A process of this system, as named in its settings.
pub type NodeId = String;

/// An endpoint: a model engine or a service. It has the id of the sidecar beside it.
pub type EndpointId = NodeId;

/// A failure domain, as named in the settings.
pub type FailureDomain = String;

/// One run of a process: drawn at its start, so that a restart is told from a pause.
pub type Incarnation = u64;

/// A model's name as callers write it.
pub type ModelId = String;

/// The hash that chains a turn to the one before.
pub type TurnHash = [u8; 32];

/// Bits of a program id below the time of issue.
const ISSUE_SHIFT_BITS: u32 = 80;

/// Makes a program id from the time of issue (Unix milliseconds, 48 bits) and 80 random bits.
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

/// Returns the time of issue of a program id in Unix milliseconds.
pub fn issued_ms(id: ProgramId) -> u64 {
    (id >> ISSUE_SHIFT_BITS) as u64
}

/// Returns the partition of a program.
pub fn partition_of(id: ProgramId, partitions: Partition) -> Partition {
    let low = id as u64;
    (low % u64::from(partitions.max(1))) as Partition
}

/// Writes an id as callers see it: 32 hexadecimal digits.
pub fn format_id(id: u128) -> String {
    format!("{id:032x}")
}

/// Reads an id as written by [`format_id`]; `None` if it is not one.
pub fn parse_id(text: &str) -> Option<u128> {
    if text.len() != 32 {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}
