//! Finds the answer to a request among the answers that arrive on its connection.

#[cfg(test)]
mod tests;

use super::failure::Failure;
use super::leaving::ObservedAnswer;
use crate::dialect::{AnswerInfo, Dialect};
use crate::limits::MAX_ANSWER_BYTES;
use crate::net::with_timeout;
use crate::serve::http::{BodyDecoder, Connection, Framing, ResponseHead, is_reset};
use std::io::ErrorKind;
use std::time::Duration;

/// Number of answers to other requests after which a connection counts as broken.
const MAX_STRAY_ANSWERS: u32 = 3;

/// Time for the answer to a request after one that may be to another request; several times the
/// usual call duration. An endpoint that sends no ids sends nothing further.
const AFTER_UNCERTAIN_TIMEOUT: Duration = Duration::from_millis(450);

/// A request whose answer is read.
#[derive(Clone, Copy)]
pub(super) struct ExpectedAnswer<'a> {
    pub(super) request_id: &'a str,
    /// Whether nothing was sent on the connection before the request.
    pub(super) is_first: bool,
}

/// Which request an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnsweredRequest {
    Expected,
    Other,
    /// This request, or an earlier one on the connection.
    Uncertain,
}

impl ExpectedAnswer<'_> {
    fn answered_request(&self, info: &AnswerInfo) -> AnsweredRequest {
        match &info.request_id {
            Some(id) if id != self.request_id => AnsweredRequest::Other,
            Some(id) if !id.is_empty() => AnsweredRequest::Expected,
            _ if self.is_first => AnsweredRequest::Expected,
            _ => AnsweredRequest::Uncertain,
        }
    }
}

/// The head of an answer that is not one to another request for certain.
enum FoundHead {
    Expected(ResponseHead, AnswerInfo),
    Uncertain(ResponseHead),
}

/// Reads the head of the answer to a request and discards other answers.
///
/// An endpoint may write an earlier answer again. An answer without an id counts only on a connection
/// that carried no other request.
pub(super) async fn read_matching_answer<D: Dialect>(
    connection: &mut Connection,
    expected: ExpectedAnswer<'_>,
    observe: &impl Fn(&ObservedAnswer<'_>),
) -> Result<(ResponseHead, AnswerInfo), Failure> {
    let mut uncertain = match find_head::<D>(connection, expected, observe).await? {
        FoundHead::Expected(head, info) => return Ok((head, info)),
        FoundHead::Uncertain(head) => head,
    };
    let failure = Failure::may_have_run("the endpoint's answer names no request");
    let later = async {
        for _ in 0..MAX_STRAY_ANSWERS {
            if !uncertain.keep_alive {
                return None;
            }
            discard_body(connection, uncertain.framing).await.ok()?;
            match find_head::<D>(connection, expected, observe).await.ok()? {
                FoundHead::Expected(head, info) => return Some((head, info)),
                FoundHead::Uncertain(head) => uncertain = head,
            }
        }
        None
    };
    let later = with_timeout(AFTER_UNCERTAIN_TIMEOUT, later).await;
    later.flatten().ok_or(failure)
}

/// Reads the next head and discards answers to other requests.
async fn find_head<D: Dialect>(
    connection: &mut Connection,
    expected: ExpectedAnswer<'_>,
    observe: &impl Fn(&ObservedAnswer<'_>),
) -> Result<FoundHead, Failure> {
    let request_id = expected.request_id;
    for _ in 0..MAX_STRAY_ANSWERS {
        let head = read_head(connection).await?;
        let info = D::parse_answer(&head.headers);
        let answered = expected.answered_request(&info);
        observe(&ObservedAnswer {
            status: head.status,
            info: &info,
            is_stray: answered != AnsweredRequest::Expected,
        });
        match answered {
            AnsweredRequest::Expected => return Ok(FoundHead::Expected(head, info)),
            AnsweredRequest::Uncertain => {
                crate::event!("uncertain_answer", "request" => request_id,
                    "status" => head.status, "not_run" => info.has_not_run);
                return Ok(FoundHead::Uncertain(head));
            }
            AnsweredRequest::Other => {
                crate::event!("stray_answer", "request" => request_id, "status" => head.status);
                discard_body(connection, head.framing).await?;
            }
        }
    }
    Err(Failure::may_have_run(
        "the endpoint answers other requests only",
    ))
}

async fn read_head(connection: &mut Connection) -> Result<ResponseHead, Failure> {
    connection.read_response().await.map_err(|error| {
        let failure = match error.kind() {
            ErrorKind::UnexpectedEof => Failure::disconnected,
            kind if is_reset(kind) => Failure::disconnected,
            _ => Failure::may_have_run,
        };
        failure(match error.kind() {
            ErrorKind::InvalidData => "the endpoint sent no answer in the protocol",
            ErrorKind::FileTooLarge => "the endpoint sent too many interim answers",
            ErrorKind::UnexpectedEof => "the endpoint closed the connection",
            _ => "the connection to the endpoint broke",
        })
    })
}

/// Reads the body of an answer that is not used.
async fn discard_body(connection: &mut Connection, framing: Framing) -> Result<(), Failure> {
    let mut decoder = BodyDecoder::new(framing);
    let mut discarded = Vec::new();
    let mut discarded_bytes = 0;
    while !decoder.is_done() {
        let read = connection.read_body(&mut decoder, &mut discarded).await;
        read.map_err(|_| Failure::may_have_run("a stray answer was broken off"))?;
        discarded_bytes += discarded.len();
        if discarded_bytes > MAX_ANSWER_BYTES {
            return Err(Failure::may_have_run("a stray answer is too large"));
        }
        discarded.clear();
    }
    Ok(())
}
