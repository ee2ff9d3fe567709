//! Cache events and load reports of the engines, crashes, simultaneous restarts and cache loss.

use railtack_core::BlockHash;
use railtack_emulator::engine::EngineModel;
use railtack_routing::EngineSlot;

use crate::experiment::{
    fleet::{Event, REPORT_INTERVAL, ROUTERS, VirtualFleet, costs},
    policy::Policy,
    router::VirtualRouter,
};

/// Time to fetch the cache contents of an engine after a gap in its events, microseconds.
const RESYNC_DELAY: u64 = 50_000;
/// Time until routers detect a crash by broken connections, microseconds.
const CRASH_DETECTION_DELAY: u64 = 20_000;
/// Time until a crashed engine runs again, microseconds.
const RESTART_TIME: u64 = 5_000_000;
/// Most dispatches of one request.
const ATTEMPTS: usize = 4;

impl VirtualFleet<'_> {
    pub(super) fn apply_cache_event(
        &mut self,
        engine: u32,
        incarnation: u64,
        sequence: u64,
        stored: &[BlockHash],
        removed: &[BlockHash],
    ) {
        if self.engines[engine as usize].incarnation != incarnation
            || self.policy != Policy::Railtack
        {
            return;
        }
        for router in 0..self.routers.len() {
            let is_consecutive =
                self.routers[router].apply_cache_event(engine, sequence, stored, removed);
            if !is_consecutive {
                let event = Event::Resync {
                    router,
                    engine,
                    incarnation,
                };
                self.schedule.after(RESYNC_DELAY, event);
            }
        }
    }

    pub(super) fn resync(&mut self, router: usize, number: u32, incarnation: u64) {
        let engine = &self.engines[number as usize];
        if engine.incarnation != incarnation || !engine.up {
            return;
        }
        let blocks: Vec<BlockHash> = engine.model.cache().hashes().copied().collect();
        self.routers[router].replace_cached_blocks(number, engine.sequence, &blocks);
    }

    pub(super) fn report(&mut self, number: u32) {
        let now = self.schedule.now();
        let last = self.requests.last().map_or(0, |request| request.arrival_us);
        if now > last + 60_000_000 {
            return;
        }
        self.schedule
            .after(REPORT_INTERVAL, Event::Report { engine: number });
        let engine = &self.engines[number as usize];
        if !engine.up {
            return;
        }
        let load = engine.model.load();
        for router in &mut self.routers {
            router
                .engines()
                .report(EngineSlot(number as u16), load, now);
        }
    }

    pub(super) fn crash(&mut self) {
        let count = self.conditions.engines / 3;
        for number in 0..count {
            let engine = &mut self.engines[number as usize];
            engine.up = false;
            engine.incarnation += 1;
            engine.stepping = false;
            engine.sequence = 0;
            engine.model = EngineModel::new(costs(self.conditions));
            let slot = EngineSlot(number as u16);
            let lost = self.open_requests.iter().enumerate().filter(|(_, open)| {
                !open.done && open.choice.is_some_and(|choice| choice.engine == slot)
            });
            let lost = lost.map(|(position, _)| position).collect();
            let event = Event::DetectCrash {
                engine: number,
                lost,
            };
            self.schedule.after(CRASH_DETECTION_DELAY, event);
            self.schedule
                .after(RESTART_TIME, Event::Restart { engine: number });
        }
    }

    /// Handles the broken connections of a crash: continues open requests at other engines within the retry
    /// budget.
    pub(super) fn detect_crash(&mut self, number: u32, lost: Vec<usize>) {
        let engine = &self.engines[number as usize];
        let (incarnation, up) = (engine.incarnation, engine.up);
        for router in &mut self.routers {
            router.update_engine(number, incarnation, up);
        }
        for open in lost {
            let state = &mut self.open_requests[open];
            if state.done {
                continue;
            }
            state.excluded.push(EngineSlot(number as u16));
            let has_attempts = state.excluded.len() < ATTEMPTS;
            let router = &mut self.routers[state.router];
            if has_attempts && router.budget.withdraw() {
                self.dispatch(open, false);
            } else {
                state.done = true;
                let request = &self.requests[state.request];
                self.recorder.refused(request);
            }
        }
    }

    pub(super) fn restart_engine(&mut self, number: u32) {
        let engine = &mut self.engines[number as usize];
        engine.up = true;
        let incarnation = engine.incarnation;
        for router in &mut self.routers {
            router.update_engine(number, incarnation, true);
        }
    }

    pub(super) fn restart_routers(&mut self) {
        for number in 0..self.routers.len() {
            self.routers[number] =
                VirtualRouter::new(self.policy, self.conditions.engines, ROUTERS);
            for engine in 0..self.conditions.engines {
                let state = &self.engines[engine as usize];
                self.routers[number].update_engine(engine, state.incarnation, state.up);
                let event = Event::Resync {
                    router: number,
                    engine,
                    incarnation: state.incarnation,
                };
                if self.policy == Policy::Railtack {
                    // The router fetches the cache contents of one engine after another.
                    let delay = RESYNC_DELAY * u64::from(engine + 1);
                    self.schedule.after(delay, event);
                }
            }
        }
    }

    pub(super) fn clear_caches(&mut self) {
        for number in 0..self.conditions.engines {
            let engine = &mut self.engines[number as usize];
            let changes = engine.model.clear_cache();
            engine.sequence += 1;
            let event = Event::CacheChanged {
                engine: number,
                incarnation: engine.incarnation,
                sequence: engine.sequence,
                stored: changes.stored,
                removed: changes.removed,
            };
            self.schedule.after(self.conditions.event_delay_us, event);
        }
    }
}
