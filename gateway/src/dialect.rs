//! What an adapter translates: headers, documents and the calls of the platform's store.

use crate::endpoints::{EndpointRecord, ReportedLoad};
use crate::http::Header;
use crate::routes::Configuration;
use smallvec::SmallVec;
use std::time::Duration;

/// Id of one part of a prompt.
pub type PartId = u64;

/// What the headers of a client's request say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallInfo {
    /// Id of the attempt; each attempt of a client has its own.
    pub request_id: Option<String>,
    /// Time for which the client will wait.
    pub client_timeout: Option<Duration>,
    /// The program that it belongs to.
    pub program: Option<String>,
    /// Time that is left until the program should be over.
    pub program_time_left: Option<Duration>,
    /// Tokens that all turns of the program may generate.
    pub budget_tokens: Option<u64>,
    /// The turn that it continues.
    pub previous_turn: Option<String>,
    /// Prompt tokens, and tokens generated at most.
    pub tokens: Option<(u32, u32)>,
    /// Tokens of the answer, as the client expects; good at the median only.
    pub answer_tokens: Option<u32>,
    /// Parts of the prompt with their tokens, in order.
    pub prompt_parts: SmallVec<[(PartId, u32); 4]>,
    /// Requests with the same value concern the same object.
    pub affinity: Option<String>,
}

/// What the headers of an endpoint's answer say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerInfo {
    /// Id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it has the endpoint's signature.
    pub is_signed: bool,
    /// Whether it says that the endpoint has not run the request.
    pub is_not_run: bool,
    /// The endpoint's load.
    pub load: Option<ReportedLoad>,
}

/// What the gateway adds to a request that it sends to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// Time that is left.
    pub time_left: Duration,
    /// The endpoint's instance; another one must not run the request.
    pub instance: &'a str,
}

/// One call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
}

/// A topic of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Topic {
    /// What operators configure.
    Configuration,
    /// What endpoints say of themselves.
    Endpoints,
    /// Turns and reservations, in one of several partitions; written by this system.
    Turns(PartitionNumber),
    /// Where gateways listen for each other; written by this system.
    Gateways,
}

/// Number of a partition of a topic, from 0.
pub type PartitionNumber = u32;

/// A place in a topic.
pub type Offset = u64;

/// A record of a topic; without a value the key is dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRecord {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Option<Vec<u8>>,
    /// Where it stands.
    pub offset: Offset,
}

/// A key and its value; without one the key is dropped.
pub type KeyValue = (String, Option<Vec<u8>>);

/// A batch of records to append.
#[derive(Clone, Copy, Debug)]
pub struct Append<'a> {
    /// The topic.
    pub topic: Topic,
    /// Name of the writer in this lifetime of its process.
    pub producer: &'a str,
    /// Number of the batch; a resend has the same number.
    pub sequence: u64,
    /// Keys and values.
    pub records: &'a [KeyValue],
}

/// What an append came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It stands; the first record has this offset.
    At(Offset),
    /// Nothing was done; it may be sent again.
    Refused,
    /// The writer's name or number is not accepted, now and later.
    Conflict,
}

/// Records from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records in order, and where the topic ended.
    Records {
        /// The records.
        records: Vec<StoreRecord>,
        /// Offset of the next record to be appended.
        end: Offset,
    },
    /// The records asked for are gone.
    Expired,
    /// The store didn't do it.
    Refused,
}

/// A page of the newest records of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestPage {
    /// Newest record of each key.
    pub records: Vec<StoreRecord>,
    /// Whether there are more keys after the last one.
    pub more: bool,
    /// Offset of the next record to be appended.
    pub end: Offset,
}

/// Translates between the platform's protocol and the gateway's types; keeps no state.
pub trait Dialect: 'static {
    /// Reads the headers of a client's request.
    fn read_call(headers: &[Header]) -> CallInfo;

    /// Tells whether only the system itself may set a header of a request.
    fn is_reserved(name: &str) -> bool;

    /// Appends the header lines that the gateway sets on a request to an endpoint.
    fn write_dispatch(dispatch: &Dispatch<'_>, out: &mut Vec<u8>);

    /// Reads the headers of an endpoint's answer.
    fn read_answer(headers: &[Header]) -> AnswerInfo;

    /// Reads a configuration document.
    fn read_configuration(document: &[u8]) -> Result<Configuration, String>;

    /// Key of the newest configuration.
    fn configuration_key() -> &'static str;

    /// Reads an endpoint's entry; an error says why it names no endpoint to use.
    fn read_endpoint(id: &str, entry: &[u8]) -> Result<EndpointRecord, String>;

    /// Makes the call for a page of the newest records.
    fn newest(topic: Topic, after: Option<&str>) -> StoreCall;

    /// Reads the answer to [`Dialect::newest`]; `None` if the store didn't do it.
    fn read_newest(status: u16, body: &[u8]) -> Option<NewestPage>;

    /// Makes the call for the records from an offset on, waiting for the first one if asked to.
    fn read(topic: Topic, from: Offset, wait: Duration) -> StoreCall;

    /// Reads the answer to [`Dialect::read`].
    fn read_records(from: Offset, status: u16, body: &[u8]) -> ReadOutcome;

    /// Makes the call for an append.
    fn append(append: &Append<'_>) -> StoreCall;

    /// Reads the answer to [`Dialect::append`].
    fn read_appended(status: u16, body: &[u8]) -> AppendOutcome;
}
