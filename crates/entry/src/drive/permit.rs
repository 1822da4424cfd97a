use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Refused;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_claims::Claim;
use kumquattiller_claims::Granted;
use kumquattiller_claims::Lapsed;
use kumquattiller_claims::Response;
use kumquattiller_claims::Started;

use crate::claims::Claims;
use crate::drive::End;

/// The permission of one request to start attempts.
///
/// A non-idempotent request may start once under the claim on its idempotency key, and again only
/// if the runner reports that it refused the attempt.
#[derive(Debug, Default)]
pub struct Permit {
    state: State,
    /// The response so far, up to one byte more than the claim's record may hold.
    recorded: Vec<u8>,
}

#[derive(Debug, Default)]
enum State {
    /// Any number of attempts: the request is idempotent.
    #[default]
    Unlimited,
    /// The one start is still available.
    Granted(Claim<Granted>),
    /// The one start is used; the claim is still to be finished.
    Started(Claim<Started>),
    /// Placeholder while the state is being replaced.
    Taken,
}

impl Permit {
    /// Permits one start under `claim`.
    pub const fn from_claim(claim: Claim<Granted>) -> Self {
        Self { state: State::Granted(claim), recorded: Vec::new() }
    }

    /// Uses the permit for an attempt. Returns `false` if no attempt may start.
    pub fn start(&mut self, claims: &Claims) -> bool {
        match std::mem::replace(&mut self.state, State::Taken) {
            State::Unlimited => self.state = State::Unlimited,
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

    /// Makes the start available again after the runner refused the attempt.
    pub fn revert_start(&mut self, attempt: &Attempt<Refused>) {
        self.state = match std::mem::replace(&mut self.state, State::Taken) {
            State::Started(claim) => State::Granted(claim.refused(attempt)),
            other => other,
        };
    }

    /// Keeps `data` of the response for the claim's record.
    pub fn record_data(&mut self, data: &[u8]) {
        let room = (Response::MAX_BODY_BYTES + 1).saturating_sub(self.recorded.len());
        if matches!(self.state, State::Started(_)) {
            self.recorded.extend_from_slice(&data[..data.len().min(room)]);
        }
    }

    /// Releases the claim if nothing started, else records the request's outcome in it.
    pub fn finish(self, claims: &Claims, end: &End) {
        match self.state {
            State::Granted(claim) => claims.end(claim.release()),
            State::Started(claim) => {
                let outcome = match &end.outcome {
                    Outcome::Done { .. } => kumquattiller_claims::Outcome::Done(Response::new(
                        end.status,
                        &end.content_type,
                        &self.recorded,
                    )),
                    Outcome::Failed(kind) => kumquattiller_claims::Outcome::Failed(*kind),
                    Outcome::Unknown(kind) => kumquattiller_claims::Outcome::Unknown(*kind),
                    Outcome::NotRun(refusal) => {
                        kumquattiller_claims::Outcome::Unknown(refusal.kind())
                    }
                };
                claims.end(claim.finish(outcome));
            }
            State::Unlimited | State::Taken => {}
        }
    }
}
