//! Handling of a call whose idempotency key an earlier call may have used.

use bytes::Bytes;
use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Unsent;
use kumquattiller_base::error;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::size;
use kumquattiller_claims::Answer;
use kumquattiller_claims::Claim;
use kumquattiller_claims::Granted;
use kumquattiller_claims::Response;

use crate::drive::End;
use crate::drive::driver::not_run_or_unknown;

/// Finish reason of a model's recorded response; the record does not hold the original one.
const RECORDED_FINISH_REASON: &str = "stop";

/// Whether a call is the first one with its idempotency key.
#[derive(Debug)]
pub enum Repeat {
    /// The call is the first one with the key and may run.
    First(Claim<Granted>),
    /// The call must not run; it gets this data and this end.
    Duplicate(Option<Bytes>, End),
}

impl Repeat {
    /// Evaluates the answer to the claim of a key. `unsent` proves that the call started nothing.
    pub fn from_claim_answer(answer: Answer, unsent: Attempt<Unsent>) -> Self {
        let end = match answer {
            Answer::Granted(claim) => return Self::First(claim),
            Answer::Finished(kumquattiller_claims::Outcome::Done(response)) => {
                return from_record(response);
            }
            Answer::Finished(kumquattiller_claims::Outcome::Failed(kind)) => {
                Outcome::Failed(kind).into()
            }
            Answer::Finished(kumquattiller_claims::Outcome::Unknown(kind)) => {
                Outcome::Unknown(kind).into()
            }
            Answer::Held { .. } => Outcome::Unknown(error::Kind::InProgress).into(),
            Answer::Unknown => Outcome::Unknown(error::Kind::RunnerLost).into(),
            Answer::Reused => not_run_or_unknown(unsent, error::Kind::KeyReused, None),
            Answer::Full | Answer::Unavailable => {
                not_run_or_unknown(unsent, error::Kind::StoreUnavailable, None)
            }
        };
        Self::Duplicate(None, end)
    }
}

/// Builds the end of a repeated call from the recorded response to the first one; the call fails if
/// the record lacks the body.
fn from_record(response: Response) -> Repeat {
    let Some(body) = response.body else {
        return Repeat::Duplicate(None, Outcome::Failed(error::Kind::ResumeGone).into());
    };
    let tokens = size::Tokens::estimate_for_text(size::Bytes::new(body.len() as u64));
    let end = End {
        outcome: Outcome::Done { tokens },
        status: response.status,
        content_type: response.content_type,
        finish_reason: RECORDED_FINISH_REASON.to_owned(),
    };
    Repeat::Duplicate(Some(body.into()), end)
}
