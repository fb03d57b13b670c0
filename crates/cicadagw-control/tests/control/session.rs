//! One node's control with a fake platform, and the record of what passed.

use cicadagw_config::Stamp;
use cicadagw_control::platform::{Call, Purpose, Reply, Request, Response};
use cicadagw_control::{Core, Dump, Effect, Event};
use cicadagw_endpoint::{LocalUpdate, Record};
use cicadagw_platform::Error;
use cicadagw_settings::Settings;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::down::Path;
use cicadagw_wire::link::{self, Command, Session as Link};
use cicadagw_wire::{Down, Hello, Refusal, Up};

use crate::fixture::member;
use crate::render;
use crate::store::Store;

/// How often time is told.
const TICK: Span = Span::new(100);

/// A node under test.
pub(crate) struct Session {
    pub(crate) core: Core,
    pub(crate) store: Store,
    pub(crate) effects: Vec<Effect>,
    /// How many calls were made to the platform, a waiting watch as one.
    pub(crate) calls: usize,
    dialled: Option<Link>,
    is_answered: fn(&Call) -> bool,
    now: Timestamp,
    lines: Vec<String>,
    waiting: Vec<(Timestamp, Call)>,
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
            dialled: None,
            is_answered: |_| true,
            now: Timestamp::new(1_000),
            lines: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Has the node take an event, and keeps what it does.
    pub(crate) fn step(&mut self, event: Event) {
        let told = render::event(&event);
        let effects = self.core.step(self.now, event);
        if told != "tick" || !effects.is_empty() {
            self.lines.push(format!("{} > {told}", self.now));
        }
        for effect in effects {
            self.lines.push(format!("    {}", render::effect(&effect)));
            if let Effect::Platform(call) = &effect {
                self.calls += 1;
                self.waiting.push((self.now, call.clone()));
            }
            if let Effect::Link(Command::Dial { session, .. }) = &effect {
                self.dialled = Some(*session);
            }
            self.effects.push(effect);
        }
    }

    /// Lets time pass, with the platform answering.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(TICK);
            self.step(Event::Tick);
            self.answer();
        }
    }

    /// Lets time pass while the process stands still.
    pub(crate) fn freeze(&mut self, span: Span) {
        self.now = self.now.after(span);
    }

    /// Lets time pass with a parent that gives signs of life.
    pub(crate) fn run_hearing(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.run(Span::seconds(1));
            self.down(Down::Heartbeat(self.held()));
        }
    }

    /// Lets time pass with the platform answering the calls that `is_answered` names.
    pub(crate) fn run_with(&mut self, span: Span, is_answered: fn(&Call) -> bool) {
        self.is_answered = is_answered;
        self.run(span);
        self.is_answered = |_| true;
    }

    /// Has the platform answer every call that it can answer now.
    pub(crate) fn answer(&mut self) {
        loop {
            let waiting = std::mem::take(&mut self.waiting);
            let mut answered = false;
            for (since, call) in waiting {
                match self.outcome(since, &call) {
                    Some(outcome) => {
                        answered = true;
                        let purpose = call.purpose;
                        self.step(Event::Platform(Reply { purpose, outcome }));
                    }
                    None => self.waiting.push((since, call)),
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
        let outcome = self.store.answer(&call.request);
        let over = match call.request {
            Request::Watch { wait, .. } => self.now.since(since) >= wait,
            _ => false,
        };
        outcome.or_else(|| over.then_some(Ok(Response::Object(None))))
    }

    /// The oldest call for `purpose` that is not answered.
    pub(crate) fn pending(&self, purpose: Purpose) -> Option<Request> {
        let mut waiting = self.waiting.iter();
        let found = waiting.find(|(_, call)| call.purpose == purpose);
        found.map(|(_, call)| call.request.clone())
    }

    /// Answers the oldest call for `purpose` by hand.
    pub(crate) fn reply_to(&mut self, purpose: Purpose, outcome: Result<Response, Error>) {
        let mut waiting = self.waiting.iter();
        let index = waiting.position(|(_, call)| call.purpose == purpose);
        self.waiting.remove(index.unwrap());
        self.step(Event::Platform(Reply { purpose, outcome }));
    }

    pub(crate) fn local(&mut self, local: LocalUpdate) {
        self.step(Event::Local(local));
    }

    /// Has a child ask to join over `link`.
    pub(crate) fn joining(&mut self, link: u64, hello: Hello) {
        let hello = Box::new(hello);
        let session = Link(link);
        self.step(Event::Link(link::Event::Joining { session, hello }));
    }

    pub(crate) fn up(&mut self, link: u64, message: Up) {
        let message = Box::new(message);
        let session = Link(link);
        self.step(Event::Link(link::Event::Up { session, message }));
    }

    /// Has the parent say something.
    pub(crate) fn down(&mut self, message: Down) {
        let message = Box::new(message);
        let session = self.dialled.unwrap();
        self.step(Event::Link(link::Event::Down { session, message }));
    }

    pub(crate) fn opened(&mut self) {
        let session = self.dialled.unwrap();
        self.step(Event::Link(link::Event::Opened { session }));
    }

    pub(crate) fn refused(&mut self, refusal: Refusal) {
        let session = self.dialled.unwrap();
        self.step(Event::Link(link::Event::Refused { session, refusal }));
    }

    /// Has the link to the parent end.
    pub(crate) fn closed(&mut self) {
        let session = self.dialled.unwrap();
        let reason = "cut".to_owned();
        self.step(Event::Link(link::Event::Closed { session, reason }));
    }

    /// Has a link end.
    pub(crate) fn close(&mut self, link: u64) {
        let session = Link(link);
        let reason = "cut".to_owned();
        self.step(Event::Link(link::Event::Closed { session, reason }));
    }

    /// Has the dialled node take this one below the nodes of `path`.
    pub(crate) fn joined(&mut self, path: &[u16]) {
        self.opened();
        self.down(Down::Path(Box::new(members(path))));
    }

    /// Runs until the node dials, and returns the port that it dials.
    pub(crate) fn dials(&mut self) -> u16 {
        let before = self.dials_made().len();
        for _ in 0..200 {
            self.run(TICK);
            if let Some(port) = self.dials_made().get(before) {
                return *port;
            }
        }
        panic!("the node dials nobody");
    }

    /// Lets time pass, and returns the last port that the node dialled in it.
    pub(crate) fn dials_after(&mut self, span: Span) -> Option<u16> {
        self.run(span);
        self.dials_made().last().copied()
    }

    /// The numbers of the nodes dialled so far.
    pub(crate) fn dials_made(&self) -> Vec<u16> {
        let dials = self.commands().filter_map(|command| match command {
            Command::Dial { address, .. } => Some(address.port() - 7000),
            _ => None,
        });
        dials.collect()
    }

    /// What the node ordered of its links so far.
    pub(crate) fn commands(&self) -> impl DoubleEndedIterator<Item = &Command> {
        self.effects.iter().filter_map(|effect| match effect {
            Effect::Link(command) => Some(command),
            _ => None,
        })
    }

    /// The news of endpoints that went up so far.
    pub(crate) fn news_up(&self) -> Vec<Record> {
        let news = self.commands().filter_map(|command| match command {
            Command::Up { message, .. } => match &**message {
                Up::Endpoints(records) => Some(records.clone()),
                _ => None,
            },
            _ => None,
        });
        news.flatten().collect()
    }

    /// How the node answered the last child that asked to join.
    pub(crate) fn last_answer(&self) -> Option<Result<(), Refusal>> {
        self.commands().rev().find_map(|command| match command {
            Command::Accept { .. } => Some(Ok(())),
            Command::Refuse { refusal, .. } => Some(Err(refusal.clone())),
            _ => None,
        })
    }

    pub(crate) fn held(&self) -> Stamp {
        self.core.held().unwrap_or_default()
    }

    pub(crate) fn dump(&self) -> Dump {
        self.core.dump()
    }

    /// The session so far, and how the node stands.
    pub(crate) fn told(&self) -> String {
        format!(
            "{}\n\n{}",
            self.lines.join("\n"),
            render::dump(&self.dump())
        )
    }

    /// Forgets what passed so far.
    pub(crate) fn forget(&mut self) {
        self.lines.clear();
        self.effects.clear();
        self.calls = 0;
    }
}

/// The path of the nodes with these numbers.
pub(crate) fn members(numbers: &[u16]) -> Path {
    numbers.iter().copied().map(member).collect()
}
