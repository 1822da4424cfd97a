//! Answers to a call whose key an earlier call used.

use bytes::Bytes;
use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Unsent;
use kumquattiller_base::error;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::size;
use kumquattiller_claims::Answer;
use kumquattiller_claims::Claim;
use kumquattiller_claims::Granted;
use kumquattiller_claims::Reply;

use crate::drive::End;
use crate::drive::driver::not_run;

/// Why a model's recorded answer ended.
const RECORDED_FINISH_REASON: &str = "stop";

/// What the store's answer means for a call.
#[derive(Debug)]
pub enum Repeat {
    /// It is the first call with the key.
    No(Claim<Granted>),
    /// It gets this data and this end.
    Yes(Option<Bytes>, End),
}

impl Repeat {
    /// Judges the answer to a call that has sent nothing.
    pub fn of(answer: Answer, unsent: Attempt<Unsent>) -> Self {
        let end = match answer {
            Answer::Granted(claim) => return Self::No(claim),
            Answer::Finished(kumquattiller_claims::Outcome::Done(reply)) => return replay(reply),
            Answer::Finished(kumquattiller_claims::Outcome::Failed(kind)) => {
                Outcome::Failed(kind).into()
            }
            Answer::Finished(kumquattiller_claims::Outcome::Unknown(kind)) => {
                Outcome::Unknown(kind).into()
            }
            Answer::Held { .. } => Outcome::Unknown(error::Kind::InProgress).into(),
            Answer::Unknown => Outcome::Unknown(error::Kind::RunnerLost).into(),
            Answer::Reused => not_run(unsent, error::Kind::KeyReused, None),
            Answer::Full | Answer::Unavailable => {
                not_run(unsent, error::Kind::StoreUnavailable, None)
            }
        };
        Self::Yes(None, end)
    }
}

/// Answers with what the record kept; a body that it did not keep is not made up.
fn replay(reply: Reply) -> Repeat {
    let Some(body) = reply.body else {
        return Repeat::Yes(None, Outcome::Failed(error::Kind::ResumeGone).into());
    };
    let tokens = size::Tokens::estimate_for_text(size::Bytes::new(body.len() as u64));
    let end = End {
        outcome: Outcome::Done { tokens },
        status: reply.status,
        content_type: reply.content_type,
        finish_reason: RECORDED_FINISH_REASON.to_owned(),
    };
    Repeat::Yes(Some(body.into()), end)
}
