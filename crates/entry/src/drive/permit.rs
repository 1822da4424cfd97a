use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Refused;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_claims::Claim;
use kumquattiller_claims::Granted;
use kumquattiller_claims::Lapsed;
use kumquattiller_claims::Reply;
use kumquattiller_claims::Started;

use crate::claims::Claims;
use crate::drive::End;

/// The right of one request to start attempts.
#[derive(Debug, Default)]
pub struct Permit {
    state: State,
    /// The answer as far as a record would keep it.
    answer: Vec<u8>,
}

#[derive(Debug, Default)]
enum State {
    /// Any number of attempts, for an idempotent request.
    #[default]
    Free,
    /// One start that was not used.
    Granted(Claim<Granted>),
    /// One start that was used.
    Started(Claim<Started>),
    /// No start.
    Spent,
}

impl Permit {
    /// Permits one start under a claim.
    pub const fn of(claim: Claim<Granted>) -> Self {
        Self { state: State::Granted(claim), answer: Vec::new() }
    }

    /// Uses the permit for an attempt; returns false when it permits none.
    pub fn start(&mut self, claims: &Claims) -> bool {
        match std::mem::replace(&mut self.state, State::Spent) {
            State::Free => self.state = State::Free,
            State::Granted(claim) => match claim.start(claims.now()) {
                Ok(started) => self.state = State::Started(started),
                Err(Lapsed(claim)) => {
                    self.state = State::Granted(claim);
                    return false;
                }
            },
            used => {
                self.state = used;
                return false;
            }
        }
        true
    }

    /// Takes back the start of an attempt that the runner refused.
    pub fn refused(&mut self, attempt: &Attempt<Refused>) {
        self.state = match std::mem::replace(&mut self.state, State::Spent) {
            State::Started(claim) => State::Granted(claim.refused(attempt)),
            other => other,
        };
    }

    /// Keeps a piece of the answer for the record.
    pub fn keep(&mut self, data: &[u8]) {
        let room = (Reply::MAX_BODY_BYTES + 1).saturating_sub(self.answer.len());
        if matches!(self.state, State::Started(_)) {
            self.answer.extend_from_slice(&data[..data.len().min(room)]);
        }
    }

    /// Records the end of the request.
    pub fn end(self, claims: &Claims, end: &End) {
        match self.state {
            State::Granted(claim) => claims.end(claim.release()),
            State::Started(claim) => {
                let outcome = match &end.outcome {
                    Outcome::Done { .. } => kumquattiller_claims::Outcome::Done(Reply::new(
                        end.status,
                        &end.content_type,
                        &self.answer,
                    )),
                    Outcome::Failed(kind) => kumquattiller_claims::Outcome::Failed(*kind),
                    Outcome::Unknown(kind) => kumquattiller_claims::Outcome::Unknown(*kind),
                    Outcome::NotRun(refusal) => {
                        kumquattiller_claims::Outcome::Unknown(refusal.kind())
                    }
                };
                claims.end(claim.finish(outcome));
            }
            State::Free | State::Spent => {}
        }
    }
}
