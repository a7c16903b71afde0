//! Interface to a platform's dialect: the formats of its headers, documents and store calls.

use crate::choice::endpoints::{EndpointRecord, ReportedLoad};
use crate::routes::{Configuration, KeyHash};
use crate::serve::http::Header;
use galenapick::StatedLimit;
use smallvec::SmallVec;
use std::time::Duration;

/// Id of a prompt part.
pub type PartId = u64;

/// What a request says about the client account that sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// It has no credential.
    #[default]
    Absent,
    /// It has one that is not exactly one API key.
    Malformed,
    /// It has an API key with this hash.
    Key(KeyHash),
}

/// Contents of the headers of a client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallInfo {
    /// Id of the attempt; each attempt of a client has a different one.
    pub request_id: Option<String>,
    /// Time for which the client waits for the answer.
    pub client_timeout: Option<Duration>,
    /// Program to which the request belongs.
    pub program: Option<String>,
    /// Time until the program's deadline.
    pub program_time_left: Option<Duration>,
    /// Maximum number of tokens that all turns of the program together may generate.
    pub budget_tokens: Option<u64>,
    /// Whether the request carries a token budget that cannot be read. Unlike other unreadable
    /// values it must not count as absent, since the program would run without a limit.
    pub has_malformed_budget: bool,
    /// Turn that this request continues. A turn's id is the
    /// `request_id` of the request that started it.
    pub previous_turn: Option<String>,
    /// Prompt length and maximum answer length, in tokens.
    pub tokens: Option<(u32, u32)>,
    /// Answer length that the client expects, in tokens. It is accurate only at the median.
    pub answer_tokens: Option<u32>,
    /// Parts of the prompt in order, each with its length in tokens.
    pub prompt_parts: SmallVec<[(PartId, u32); 4]>,
    /// Affinity key; requests with the same key concern the same object.
    pub affinity: Option<String>,
    /// API key of the client account.
    pub credential: Credential,
    /// Line of turns within the program to which the request belongs.
    pub session: Option<String>,
}

/// Contents of the headers of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerInfo {
    /// Id of the answered request.
    pub request_id: Option<String>,
    /// Whether the answer has the endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint states that it has not run the request.
    pub has_not_run: bool,
    /// Load of the endpoint.
    pub load: Option<ReportedLoad>,
    /// Whether the endpoint states that it is leaving. The statement holds for the incarnation that
    /// sent the answer.
    pub is_leaving: bool,
    /// Rate of requests to which the endpoint limits all gateways together. The statement holds for
    /// the incarnation that sent the answer.
    pub rate_limit: StatedLimit,
    /// Id of the endpoint that sent the answer, if the answer names it.
    pub instance: Option<String>,
}

/// Values that the gateway adds to a request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Id of the instance that must run the request; any other instance must refuse it.
    pub instance: &'a str,
    /// Name of the client account on which the request runs.
    pub account: Option<&'a str>,
}

/// An HTTP request to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// HTTP method in uppercase.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body; empty for reads.
    pub body: Vec<u8>,
}

/// A topic of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Topic {
    /// Configuration documents, written by operators.
    Configuration,
    /// Entries that endpoints publish about themselves.
    Endpoints,
    /// One partition of the turns and reservations; written by gateways.
    Turns(PartitionNumber),
    /// Addresses on which gateways accept connections of their peers; written by gateways.
    Gateways,
}

/// Number of a partition of a topic, from 0.
pub type PartitionNumber = u32;

/// Offset of a record in a partition of a topic, from 0.
pub type Offset = u64;

/// A record of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRecord {
    /// Key of the record.
    pub key: String,
    /// Value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// Offset in the topic.
    pub offset: Offset,
}

/// A key and its value; `None` deletes the key.
pub type KeyValue = (String, Option<Vec<u8>>);

/// A batch of records to append.
#[derive(Clone, Copy, Debug)]
pub struct Append<'a> {
    /// Topic to which the records are appended.
    pub topic: Topic,
    /// Name of the producer, unique to one incarnation of its process.
    pub producer: &'a str,
    /// Sequence number of the batch; a retry has the same number.
    pub sequence: u64,
    /// Records in the order in which they are appended.
    pub records: &'a [KeyValue],
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The batch is stored; its first record has this offset.
    Stored(Offset),
    /// The store did not confirm the batch, which may nevertheless be stored. A retry with the same
    /// sequence number is safe.
    Failed,
    /// The store rejects the producer or its sequence number; a retry cannot succeed.
    Conflict,
}

/// Outcome of a read from an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records in order, and the end of the topic.
    Records {
        /// Records from the requested offset on.
        records: Vec<StoreRecord>,
        /// Offset of the next record to be appended.
        end: Offset,
    },
    /// The store no longer has the records at the requested offset.
    Expired,
    /// The read failed; it may be retried.
    Failed,
}

/// A page of the newest records of a topic, in order of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestPage {
    /// Newest record of each key in the page.
    pub records: Vec<StoreRecord>,
    /// Whether more pages follow the last key.
    pub more: bool,
    /// Offset of the next record to be appended.
    pub end: Offset,
}

/// Translates between one platform's formats and the gateway's types. Implementations are
/// stateless.
pub trait Dialect: 'static {
    /// Parses the headers of a client's request; an unreadable value counts as absent, except for
    /// the token budget.
    fn parse_call(headers: &[Header]) -> CallInfo;

    /// Returns whether a request header is reserved; reserved headers of clients are not forwarded.
    fn is_reserved(name: &str) -> bool;

    /// Returns whether a request header may hold an API key: any credential if the deployment has
    /// accounts, otherwise one in the deployment's own format. Such a header is never forwarded.
    fn is_credential(header: &Header, has_accounts: bool) -> bool;

    /// Appends to `out` the header lines that the gateway sets on a request to an endpoint.
    fn write_dispatch(dispatch: &Dispatch<'_>, out: &mut Vec<u8>);

    /// Parses the headers of an endpoint's answer; an unreadable value counts as absent.
    fn parse_answer(headers: &[Header]) -> AnswerInfo;

    /// Parses the start time of an endpoint, in Unix milliseconds, from the answer to a status request;
    /// `None` if the answer does not name it.
    fn parse_status(body: &[u8]) -> Option<u64>;

    /// Parses a configuration document; an error contains the reason.
    fn parse_configuration(document: &[u8]) -> Result<Configuration, String>;

    /// Returns the key under which the configuration is stored.
    fn configuration_key() -> &'static str;

    /// Parses an endpoint's entry; an error contains the reason why the endpoint is not usable.
    fn parse_endpoint(id: &str, entry: &[u8]) -> Result<EndpointRecord, String>;

    /// Builds the call that reads the page of newest records after a key, or the first page.
    fn build_newest(topic: Topic, after: Option<&str>) -> StoreCall;

    /// Parses the answer to [`Dialect::build_newest`]; `None` if the call failed.
    fn parse_newest(status: u16, body: &[u8]) -> Option<NewestPage>;

    /// Builds the call that reads records from an offset on. If there are none yet, the store waits
    /// up to `wait` for the first one.
    fn build_read(topic: Topic, from: Offset, wait: Duration) -> StoreCall;

    /// Parses the answer to [`Dialect::build_read`].
    fn parse_records(from: Offset, status: u16, body: &[u8]) -> ReadOutcome;

    /// Builds the call that appends a batch.
    fn build_append(append: &Append<'_>) -> StoreCall;

    /// Parses the answer to [`Dialect::build_append`].
    fn parse_appended(status: u16, body: &[u8]) -> AppendOutcome;
}
