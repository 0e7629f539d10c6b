//! A model of a target: prompts are processed one after the other, in order of rank and arrival, and
//! outputs are generated beside them. All work takes longer in slow periods.

use std::collections::VecDeque;
use std::time::Duration;

use cornelhitch_types::id::Time;
use cornelhitch_types::target::{Load, LoadReport, Pace};

/// Prompt tokens that a target of the usual speed processes in a millisecond.
const TOKENS_PER_MS: f64 = 38.1;

/// Time of one step of a target of the usual speed, in milliseconds; it generates one token.
const STEP_MS: f64 = 4.43;

/// Prompt tokens processed before another prompt may go first.
const CHUNK_TOKENS: f64 = 381.0;

/// Length of a period in which a target's speed stays the same.
const PERIOD: Duration = Duration::from_millis(600);

/// Share of slow periods, in 100, and their factor on the time of work.
const SLOW_PERIODS: u64 = 15;
const SLOW_FACTOR: f64 = 2.5;

/// Requests that a target runs concurrently.
pub const SLOTS: u32 = 48;

/// Shared prompt parts that a target's cache holds.
const CACHED_PARTS: usize = 30;

/// A request at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// The host that sent it, as an index.
    pub host: usize,
    /// Its number at the host.
    pub id: u64,
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// The shared part of its prompt.
    pub part: u64,
    /// Number of tokens of the shared part and of the rest.
    pub tokens: (f64, f64),
    /// Output tokens up to the end of the first event, and of all events.
    pub output: (f64, f64),
}

/// A target.
pub struct Engine {
    number: u64,
    /// Time that work takes in usual periods, relative to a target of the usual speed.
    pace: f64,
    /// Prompts, with the tokens left of each; the first of the lowest rank is in progress.
    prompts: Vec<(Job, f64)>,
    running: u32,
    /// Requests that wait for a slot.
    waiting: VecDeque<Job>,
    cached: VecDeque<u64>,
    /// Whether a chunk is in progress.
    processing: bool,
    /// Time for which prompts were processed.
    pub busy: Duration,
}

impl Engine {
    /// Creates an idle target.
    pub fn new(number: u64, pace: f64) -> Self {
        Self {
            number,
            pace,
            prompts: Vec::new(),
            running: 0,
            waiting: VecDeque::new(),
            cached: VecDeque::new(),
            processing: false,
            busy: Duration::ZERO,
        }
    }

    /// Returns how long work takes now, relative to a target of the usual speed.
    fn pace(&self, now: Time) -> f64 {
        let period = now.as_millis() / PERIOD.as_millis();
        let period = u64::try_from(period).expect("a short run");
        let mixed = (self.number * 1_000_003 + period).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let slow = (mixed >> 32) % 100 < SLOW_PERIODS;
        self.pace * if slow { SLOW_FACTOR } else { 1.0 }
    }

    /// Accepts a request; returns when the chunk that begins with it ends, if the target was idle.
    pub fn accept(&mut self, job: Job, now: Time) -> Option<Time> {
        if self.running >= SLOTS {
            self.waiting.push_back(job);
            return None;
        }
        self.running += 1;
        let held = self.cached.iter().position(|part| *part == job.part);
        if let Some(index) = held {
            self.cached.remove(index);
        }
        self.cached.push_back(job.part);
        if self.cached.len() > CACHED_PARTS {
            self.cached.pop_front();
        }
        let shared = if held.is_some() { 0.0 } else { job.tokens.0 };
        self.prompts.push((job, (shared + job.tokens.1).max(1.0)));
        self.next_chunk(now)
    }

    /// Begins the next chunk, unless one is in progress; returns when it ends.
    fn next_chunk(&mut self, now: Time) -> Option<Time> {
        let (_, left) = self.current().map(|index| self.prompts[index])?;
        if self.processing {
            return None;
        }
        self.processing = true;
        let ms = left.min(CHUNK_TOKENS) / TOKENS_PER_MS * self.pace(now);
        let time = Duration::from_secs_f64(ms / 1_000.0);
        self.busy += time;
        Some(now + time)
    }

    /// Returns the prompt in progress, as an index.
    fn current(&self) -> Option<usize> {
        (0..self.prompts.len()).min_by_key(|index| self.prompts[*index].0.rank)
    }

    /// Ends a chunk. Returns the request whose prompt is processed, with when its first event and
    /// its last event come, and when the next chunk ends.
    pub fn end_chunk(&mut self, now: Time) -> (Option<(Job, Time, Time)>, Option<Time>) {
        self.processing = false;
        let mut done = None;
        if let Some(index) = self.current() {
            self.prompts[index].1 -= CHUNK_TOKENS;
            if self.prompts[index].1 <= 0.0 {
                let (job, _) = self.prompts.remove(index);
                let after = |tokens: f64| {
                    let ms = tokens * STEP_MS * self.pace(now);
                    now + Duration::from_secs_f64(ms / 1_000.0)
                };
                done = Some((job, after(job.output.0), after(job.output.1)));
            }
        }
        (done, self.next_chunk(now))
    }

    /// Ends a request whose output is complete; returns when the chunk of the one that takes its
    /// slot ends.
    pub fn end(&mut self, now: Time) -> Option<Time> {
        self.running -= 1;
        let next = self.waiting.pop_front()?;
        self.accept(next, now)
    }

    /// Returns what the target reports now.
    pub fn report(&self, now: Time) -> LoadReport {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let pace = (self.pace(now) * 100.0) as u32;
        LoadReport {
            load: Load {
                running: self.running,
                queued: u32::try_from(self.waiting.len()).expect("a short queue"),
                age_ms: 0,
            },
            slots: Some(SLOTS),
            pace: Some(Pace(pace)),
        }
    }
}
