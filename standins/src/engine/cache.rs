//! Prefix cache with least-recently-used eviction. Its events report stored and evicted prefixes.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::{Value, json};

use super::EngineOptions;

#[derive(Debug)]
struct Event {
    number: u64,
    kind: &'static str,
    chat: String,
    at: Instant,
}

/// Chats with a cached prefix, least recently used first.
#[derive(Debug)]
pub struct Cache {
    chats: IndexMap<String, ()>,
    chats_max: usize,
    events: Vec<Event>,
    lag: Duration,
    hidden_event_interval: u64,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(options: &EngineOptions) -> Self {
        Self {
            chats: IndexMap::new(),
            chats_max: options.cache_capacity_chats,
            events: Vec::new(),
            lag: options.cache_event_lag,
            hidden_event_interval: options.hidden_cache_event_interval,
        }
    }

    /// Marks a chat's prefix as used, caching it if necessary. Returns whether it was cached
    /// before.
    pub fn touch(&mut self, chat: &str) -> bool {
        let was_cached = self.chats.shift_remove(chat).is_some();
        self.chats.insert(chat.to_owned(), ());
        if !was_cached {
            self.record("stored", chat.to_owned());
        }
        while self.chats.len() > self.chats_max {
            if let Some((evicted, ())) = self.chats.shift_remove_index(0) {
                self.record("evicted", evicted);
            }
        }
        was_cached
    }

    /// Whether a chat's prefix is cached.
    pub fn contains(&self, chat: &str) -> bool {
        self.chats.contains_key(chat)
    }

    fn record(&mut self, kind: &'static str, chat: String) {
        self.events.push(Event {
            number: self.events.len() as u64 + 1,
            kind,
            chat,
            at: Instant::now(),
        });
    }

    /// Listed events with a number above `after`, as the body of a response.
    pub fn events(&self, after: u64) -> Value {
        let is_visible = |event: &&Event| {
            let is_hidden = self.hidden_event_interval > 0
                && event.number.is_multiple_of(self.hidden_event_interval);
            event.number > after && !is_hidden && event.at.elapsed() >= self.lag
        };
        let events: Vec<Value> = self
            .events
            .iter()
            .filter(is_visible)
            .map(|event| json!({"number": event.number, "kind": event.kind, "chat": event.chat}))
            .collect();
        json!({"events": events})
    }
}
