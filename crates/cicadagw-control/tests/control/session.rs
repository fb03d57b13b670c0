//! A test session: the control state machine of one node with a fake platform, and a transcript of
//! its events and effects.

use cicadagw_config::Stamp;
use cicadagw_control::platform::{Call, Purpose, Reply, Request, Response};
use cicadagw_control::{Core, Dump, Effect, Event};
use cicadagw_endpoint::{LocalUpdate, Record};
use cicadagw_platform::Error;
use cicadagw_settings::Settings;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::down::Path;
use cicadagw_wire::link::{self, Command, LinkId};
use cicadagw_wire::{Down, Hello, Refusal, Up};

use crate::fixture::member;
use crate::render;
use crate::store::Store;

/// Time between two ticks.
const TICK: Span = Span::new(100);

/// A node under test.
pub(crate) struct Session {
    pub(crate) core: Core,
    pub(crate) store: Store,
    pub(crate) effects: Vec<Effect>,
    /// Number of requests made to the platform; a pending watch counts as one.
    pub(crate) calls: usize,
    /// The link that was dialed last.
    dialed: Option<LinkId>,
    /// Whether the platform responds to a request.
    is_answered: fn(&Call) -> bool,
    /// Whether a watch delivers only changes from before it was opened.
    pub(crate) is_deaf: bool,
    now: Timestamp,
    /// The transcript.
    lines: Vec<String>,
    pending_calls: Vec<(Timestamp, Call)>,
}

impl Session {
    pub(crate) fn new(settings: &Settings, store: Store) -> Self {
        Self::seeded(settings, 7, store)
    }

    pub(crate) fn seeded(settings: &Settings, seed: u64, store: Store) -> Self {
        Self {
            core: Core::new(settings, seed).unwrap(),
            store,
            effects: Vec::new(),
            calls: 0,
            dialed: None,
            is_answered: |_| true,
            is_deaf: false,
            now: Timestamp::new(1_000),
            lines: Vec::new(),
            pending_calls: Vec::new(),
        }
    }

    /// Processes an event, and records its effects.
    pub(crate) fn step(&mut self, event: Event) {
        let line = render::event(&event);
        let effects = self.core.step(self.now, event);
        if line != "tick" || !effects.is_empty() {
            self.lines.push(format!("{} > {line}", self.now));
        }
        for effect in effects {
            self.lines.push(format!("    {}", render::effect(&effect)));
            if let Effect::Platform(call) = &effect {
                self.calls += 1;
                self.pending_calls.push((self.now, call.clone()));
            }
            if let Effect::Link(Command::Dial { session, .. }) = &effect {
                self.dialed = Some(*session);
            }
            self.effects.push(effect);
        }
    }

    /// Advances the time with a platform that responds.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(TICK);
            self.step(Event::Tick);
            self.answer();
        }
    }

    /// Advances the time while the process is suspended.
    pub(crate) fn suspend(&mut self, span: Span) {
        self.now = self.now.after(span);
    }

    /// Advances the time with a parent that sends heartbeats.
    pub(crate) fn run_with_heartbeats(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.run(Span::seconds(1));
            self.deliver_down(Down::Heartbeat(self.held()));
        }
    }

    /// Advances the time with a platform that responds only to the requests that `is_answered`
    /// selects.
    pub(crate) fn run_answering(&mut self, span: Span, is_answered: fn(&Call) -> bool) {
        self.is_answered = is_answered;
        self.run(span);
        self.is_answered = |_| true;
    }

    /// Completes every pending request to which the platform can respond now.
    pub(crate) fn answer(&mut self) {
        loop {
            let pending_calls = std::mem::take(&mut self.pending_calls);
            let mut answered = false;
            for (since, call) in pending_calls {
                match self.outcome(since, &call) {
                    Some(outcome) => {
                        answered = true;
                        let purpose = call.purpose;
                        self.step(Event::Platform(Reply { purpose, outcome }));
                    }
                    None => self.pending_calls.push((since, call)),
                }
            }
            if !answered {
                return;
            }
        }
    }

    fn outcome(&mut self, since: Timestamp, call: &Call) -> Option<Result<Response, Error>> {
        if !(self.is_answered)(call) {
            return None;
        }
        let is_deaf = self.is_deaf && self.now > since;
        let outcome = match call.request {
            Request::Watch { .. } if is_deaf => None,
            _ => self.store.answer(&call.request),
        };
        let has_timed_out = match call.request {
            Request::Watch { wait, .. } => self.now.since(since) >= wait,
            _ => false,
        };
        outcome.or_else(|| has_timed_out.then_some(Ok(Response::Object(None))))
    }

    /// Returns the oldest pending request for `purpose`.
    pub(crate) fn pending(&self, purpose: Purpose) -> Option<Request> {
        let mut pending_calls = self.pending_calls.iter();
        let found = pending_calls.find(|(_, call)| call.purpose == purpose);
        found.map(|(_, call)| call.request.clone())
    }

    /// Completes the oldest pending request for `purpose` with `outcome`.
    pub(crate) fn reply_to(&mut self, purpose: Purpose, outcome: Result<Response, Error>) {
        let mut pending_calls = self.pending_calls.iter();
        let index = pending_calls.position(|(_, call)| call.purpose == purpose);
        self.pending_calls.remove(index.unwrap());
        self.step(Event::Platform(Reply { purpose, outcome }));
    }

    pub(crate) fn local(&mut self, local: LocalUpdate) {
        self.step(Event::Local(local));
    }

    /// Delivers a request to join from the child at the other end of `link`.
    pub(crate) fn deliver_join_request(&mut self, link: u64, hello: Hello) {
        let hello = Box::new(hello);
        let session = LinkId(link);
        self.step(Event::Link(link::Event::JoinRequested { session, hello }));
    }

    /// Delivers a message from the child at the other end of `link`.
    pub(crate) fn deliver_up(&mut self, link: u64, message: Up) {
        let message = Box::new(message);
        let session = LinkId(link);
        self.step(Event::Link(link::Event::Up { session, message }));
    }

    /// Delivers a message from the parent.
    pub(crate) fn deliver_down(&mut self, message: Down) {
        let message = Box::new(message);
        let session = self.dialed.unwrap();
        self.step(Event::Link(link::Event::Down { session, message }));
    }

    /// Delivers that the dialed link was opened.
    pub(crate) fn deliver_opened(&mut self) {
        let session = self.dialed.unwrap();
        self.step(Event::Link(link::Event::Opened { session }));
    }

    /// Delivers that the dialed node refused this node.
    pub(crate) fn deliver_refused(&mut self, refusal: Refusal) {
        let session = self.dialed.unwrap();
        self.step(Event::Link(link::Event::Refused { session, refusal }));
    }

    /// Closes the link to the parent.
    pub(crate) fn close_parent_link(&mut self) {
        let session = self.dialed.unwrap();
        let reason = "connection reset".to_owned();
        self.step(Event::Link(link::Event::Closed { session, reason }));
    }

    /// Closes the link to a child.
    pub(crate) fn close_child_link(&mut self, link: u64) {
        let session = LinkId(link);
        let reason = "connection reset".to_owned();
        self.step(Event::Link(link::Event::Closed { session, reason }));
    }

    /// Simulates that the dialed node accepts this node as a child; `path` are the numbers of its
    /// ancestors, root first.
    pub(crate) fn accept_dial(&mut self, path: &[u16]) {
        self.deliver_opened();
        self.deliver_down(Down::Path(Box::new(path_of(path))));
    }

    /// Runs until the node dials, and returns the number of the node dialed.
    pub(crate) fn run_until_dial(&mut self) -> u16 {
        let before = self.dialed_nodes().len();
        for _ in 0..200 {
            self.run(TICK);
            if let Some(number) = self.dialed_nodes().get(before) {
                return *number;
            }
        }
        panic!("the node dialed no candidate within 200 ticks");
    }

    /// Advances the time, and returns the number of the node dialed last, during that time or
    /// before.
    pub(crate) fn last_dial_after(&mut self, span: Span) -> Option<u16> {
        self.run(span);
        self.dialed_nodes().last().copied()
    }

    /// Returns the numbers of the nodes dialed so far.
    pub(crate) fn dialed_nodes(&self) -> Vec<u16> {
        let dials = self.commands().filter_map(|command| match command {
            Command::Dial { address, .. } => Some(address.port() - 7000),
            _ => None,
        });
        dials.collect()
    }

    /// Returns the link commands so far.
    pub(crate) fn commands(&self) -> impl DoubleEndedIterator<Item = &Command> {
        self.effects.iter().filter_map(|effect| match effect {
            Effect::Link(command) => Some(command),
            _ => None,
        })
    }

    /// Returns the endpoint records sent to the parent so far.
    pub(crate) fn records_sent_up(&self) -> Vec<Record> {
        let records = self.commands().filter_map(|command| match command {
            Command::Up { message, .. } => match &**message {
                Up::Endpoints(records) => Some(records.clone()),
                _ => None,
            },
            _ => None,
        });
        records.flatten().collect()
    }

    /// Returns the node's response to the last request to join.
    pub(crate) fn last_join_reply(&self) -> Option<Result<(), Refusal>> {
        self.commands().rev().find_map(|command| match command {
            Command::Accept { .. } => Some(Ok(())),
            Command::Refuse { refusal, .. } => Some(Err(refusal.clone())),
            _ => None,
        })
    }

    /// Returns the stamp of the current snapshot; the default stamp without one.
    pub(crate) fn held(&self) -> Stamp {
        self.core.held().unwrap_or_default()
    }

    pub(crate) fn dump(&self) -> Dump {
        self.core.dump()
    }

    /// Returns the transcript so far and the final state.
    pub(crate) fn transcript(&self) -> String {
        format!(
            "{}\n\n{}",
            self.lines.join("\n"),
            render::dump(&self.dump())
        )
    }

    /// Clears the transcript, the recorded effects and the count of platform requests.
    pub(crate) fn clear(&mut self) {
        self.lines.clear();
        self.effects.clear();
        self.calls = 0;
    }
}

/// Returns the path of the nodes with these numbers.
pub(crate) fn path_of(numbers: &[u16]) -> Path {
    numbers.iter().copied().map(member).collect()
}
