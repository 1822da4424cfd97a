use std::collections::BTreeMap;

use kumquattiller_base::daemon;
use kumquattiller_claims::Action;
use kumquattiller_claims::Answer;
use kumquattiller_claims::CallId;
use kumquattiller_claims::Event;
use kumquattiller_claims::Settings;
use kumquattiller_claims::Writer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::Daemon;
use crate::claims::calls;
use crate::claims::calls::Inbox;
use crate::claims::calls::Message;
use crate::claims::store;

/// Runs the writer of an entry daemon and its calls to the store.
#[derive(Debug)]
struct Service {
    daemon: Daemon,
    writer: Writer,
    waiting: BTreeMap<CallId, oneshot::Sender<Answer>>,
    flushes: Vec<oneshot::Sender<()>>,
    calls: u64,
    answers: mpsc::UnboundedSender<Event>,
}

/// Serves claims until the daemon has stopped.
pub async fn run(daemon: Daemon, Inbox(mut inbox): Inbox) {
    let incarnation = daemon::Incarnation::new(daemon.identity().incarnation);
    let writer = Writer::new(daemon.settings().id.clone(), incarnation, Settings::default());
    let (answers, mut answered) = mpsc::unbounded_channel();
    let mut service = Service {
        daemon: daemon.clone(),
        writer,
        waiting: BTreeMap::new(),
        flushes: Vec::new(),
        calls: 0,
        answers,
    };
    loop {
        let due = service.writer.next_due().map(|due| daemon.clock().instant(due));
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => service.take(message),
                None => return,
            },
            Some(event) = answered.recv() => service.handle(event),
            () = sleep_until(due.unwrap_or_else(tokio::time::Instant::now)), if due.is_some() => {
                service.handle(Event::Tick);
            }
            () = daemon.stopped().cancelled() => return,
        }
        service.answer_flushes();
    }
}

impl Service {
    fn take(&mut self, message: Message) {
        match message {
            Message::Want(mut want, sender) => {
                self.calls += 1;
                want.call = CallId(self.calls);
                self.waiting.insert(want.call, sender);
                self.handle(Event::Claim(want));
            }
            Message::Event(event) => self.handle(event),
            Message::Flush(sender) => self.flushes.push(sender),
        }
    }

    fn handle(&mut self, event: Event) {
        let now = calls::now(self.daemon.clock());
        for action in self.writer.handle(now, event) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        let daemon = self.daemon.clone();
        let answers = self.answers.clone();
        match action {
            Action::Read(number) => {
                tokio::spawn(async move {
                    let result = store::read(daemon.platform(), number).await;
                    let _ = answers.send(Event::Read(number, result));
                });
            }
            Action::Write { number, version, shard } => {
                tokio::spawn(async move {
                    let result = store::write(daemon.platform(), number, version, &shard).await;
                    let _ = answers.send(Event::Write(number, result));
                });
            }
            Action::Reply(call, answer) => self.reply(call, answer),
        }
    }

    /// Answers a call; a claim that nobody takes any more is given up.
    fn reply(&mut self, call: CallId, answer: Answer) {
        let Some(sender) = self.waiting.remove(&call) else {
            return;
        };
        if let Err(Answer::Granted(claim)) = sender.send(answer) {
            self.handle(claim.release());
        }
    }

    fn answer_flushes(&mut self) {
        if !self.writer.is_idle() {
            return;
        }
        for flush in self.flushes.drain(..) {
            let _ = flush.send(());
        }
    }
}
