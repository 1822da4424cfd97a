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

/// The writer of an entry daemon, its store calls in progress and the calls that wait for it.
#[derive(Debug)]
struct Service {
    daemon: Daemon,
    writer: Writer,
    waiting_calls: BTreeMap<CallId, oneshot::Sender<Answer>>,
    flushes: Vec<oneshot::Sender<()>>,
    last_call: u64,
    store_results: mpsc::UnboundedSender<Event>,
}

/// Serves claims until the daemon has stopped.
pub async fn run(daemon: Daemon, Inbox(mut inbox): Inbox) {
    let incarnation = daemon::Incarnation::new(daemon.identity().incarnation);
    let writer = Writer::new(daemon.settings().id.clone(), incarnation, Settings::default());
    let (store_results, mut result_receiver) = mpsc::unbounded_channel();
    let mut service = Service {
        daemon: daemon.clone(),
        writer,
        waiting_calls: BTreeMap::new(),
        flushes: Vec::new(),
        last_call: 0,
        store_results,
    };
    loop {
        let due = service.writer.next_due().map(|due| daemon.clock().instant(due));
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => service.handle_message(message),
                None => return,
            },
            Some(event) = result_receiver.recv() => service.handle_event(event),
            () = sleep_until(due.unwrap_or_else(tokio::time::Instant::now)), if due.is_some() => {
                service.handle_event(Event::Tick);
            }
            () = daemon.stopped().cancelled() => return,
        }
        service.answer_flushes();
    }
}

impl Service {
    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Claim(mut claim_request, sender) => {
                self.last_call += 1;
                claim_request.call = CallId(self.last_call);
                self.waiting_calls.insert(claim_request.call, sender);
                self.handle_event(Event::Claim(claim_request));
            }
            Message::Event(event) => self.handle_event(event),
            Message::Flush(sender) => self.flushes.push(sender),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = calls::now(self.daemon.clock());
        for action in self.writer.handle(now, event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        let daemon = self.daemon.clone();
        let store_results = self.store_results.clone();
        match action {
            Action::Read(number) => {
                tokio::spawn(async move {
                    let result = store::read(daemon.platform(), number).await;
                    let _ = store_results.send(Event::Read(number, result));
                });
            }
            Action::Write { number, version, shard } => {
                tokio::spawn(async move {
                    let result = store::write(daemon.platform(), number, version, &shard).await;
                    let _ = store_results.send(Event::Write(number, result));
                });
            }
            Action::Reply(call, answer) => self.reply(call, answer),
        }
    }

    /// Answers a call. A granted claim is released if the call no longer waits for it.
    fn reply(&mut self, call: CallId, answer: Answer) {
        let Some(sender) = self.waiting_calls.remove(&call) else {
            return;
        };
        if let Err(Answer::Granted(claim)) = sender.send(answer) {
            self.handle_event(claim.release());
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
