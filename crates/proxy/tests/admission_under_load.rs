//! Answers to prompts under overload: in time, late or refused.

use std::{collections::VecDeque, time::Duration};

use quickcheck::{TestResult, quickcheck};
use railtack_proxy::load::{
    admission::{
        Answer, AnswerRule, CallerNeeds, ExpectedFirstEvent, LateRoom, decide, is_returning,
        late_memory,
    },
    late_requests::LateRequests,
    urgency_mix::UrgencyMix,
};
use railtack_serving::Policy;
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(2_000);
const ROOM: LateRoom = LateRoom {
    held_tokens: 0,
    max_tokens: None,
    free_tokens: None,
    request_tokens: 0,
};

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn needs(priority: u8) -> CallerNeeds {
    CallerNeeds {
        objective: OBJECTIVE,
        time_left: TIMEOUT,
        priority,
        is_returning: false,
    }
}

/// A prompt read in 50 ms behind `queue` at every replica, and behind `late` more of late prompts.
fn behind(queue: Duration, late: Duration) -> Option<ExpectedFirstEvent> {
    let own = milliseconds(50);
    Some(ExpectedFirstEvent {
        selected: queue + own,
        mean: queue + own,
        after_all: queue + late + own,
        own,
        own_mean: own,
        mean_queue: queue,
    })
}

/// A replica that reads timely prompts before late ones, each taking 50 ms.
#[derive(Default)]
struct ReadingReplica {
    timely_ms: u64,
    /// Arrival and remaining time of each late prompt.
    late: VecDeque<(u64, u64)>,
    late_served: Vec<u64>,
}

impl ReadingReplica {
    fn late_ms(&self) -> u64 {
        self.late.iter().map(|(_, remaining)| remaining).sum()
    }

    fn advance_to_next_ms(&mut self, now: u64) {
        if self.timely_ms > 0 {
            self.timely_ms -= 1;
        } else if let Some((arrived, remaining)) = self.late.front_mut() {
            *remaining -= 1;
            if *remaining == 0 {
                self.late_served.push(now + 1 - *arrived);
                self.late.pop_front();
            }
        }
    }
}

/// Plays a wave of twice what the replica reads for 1 s, then calm. Returns the expected times of the timely
/// prompts, the answers, and the replica.
fn play_wave(serve_late: bool) -> (Vec<Duration>, Vec<Answer>, ReadingReplica) {
    let mut replica = ReadingReplica::default();
    let (mut timely, mut answers) = (Vec::new(), Vec::new());
    for now in 0..10_000 {
        if now < 1_000 && now % 25 == 0 {
            let expected = behind(
                milliseconds(replica.timely_ms),
                milliseconds(replica.late_ms()),
            );
            let answer = decide(&needs(2), expected, ROOM);
            answers.push(answer);
            match answer {
                Answer::InTime => {
                    timely.extend(expected.map(|expected| expected.selected));
                    replica.timely_ms += 50;
                }
                Answer::Late if serve_late => replica.late.push_back((now, 50)),
                Answer::Late | Answer::Refused => {}
            }
        }
        replica.advance_to_next_ms(now);
    }
    (timely, answers, replica)
}

/// Load: a wave of twice the capacity, from callers who wait for four objectives.
#[test]
fn late_prompts_of_a_wave_are_served_by_their_deadline_and_delay_no_timely_one() {
    let (timely, answers, replica) = play_wave(true);
    let late = answers.iter().filter(|answer| **answer == Answer::Late);
    let late = late.count();
    assert!(late >= 8, "{answers:?}");
    let timeout_ms = TIMEOUT.as_millis() as u64;
    let in_deadline = replica
        .late_served
        .iter()
        .filter(|took| **took <= timeout_ms);
    assert_eq!(in_deadline.count(), late, "{:?}", replica.late_served);
    let (without_late, ..) = play_wave(false);
    assert_eq!(timely, without_late);
}

/// Load: callers come back after a refusal while late prompts have no room left.
#[test]
fn a_returning_caller_is_not_refused_again_if_its_deadline_can_be_met() {
    let full = LateRoom {
        held_tokens: 9_000,
        max_tokens: Some(10_000),
        free_tokens: None,
        request_tokens: 2_000,
    };
    let queue = behind(milliseconds(1_200), Duration::ZERO);
    assert_eq!(decide(&needs(2), queue, full), Answer::Refused);
    let returning = CallerNeeds {
        time_left: milliseconds(1_400),
        is_returning: true,
        ..needs(2)
    };
    assert_eq!(decide(&returning, queue, full), Answer::Late);
}

/// Load: a queue that no deadline allows.
#[test]
fn a_prompt_that_cannot_meet_its_deadline_is_refused_at_once() {
    let queue = behind(milliseconds(2_500), Duration::ZERO);
    for is_returning in [false, true] {
        let needs = CallerNeeds {
            is_returning,
            ..needs(0)
        };
        assert_eq!(decide(&needs, queue, ROOM), Answer::Refused);
    }
    // Late prompts ahead also count.
    let late = behind(milliseconds(1_000), milliseconds(1_500));
    assert_eq!(decide(&needs(0), late, ROOM), Answer::Refused);
}

/// Load: long prompts of a less urgent route fill the queue.
#[test]
fn an_urgent_prompt_is_in_time_while_less_urgent_ones_are_late() {
    let mut mix = UrgencyMix::default();
    let now = Instant::now();
    for _ in 0..20 {
        mix.record(2, 4_000, now);
        mix.record(0, 800, now);
    }
    // 40 tokens a millisecond.
    let queue = |priority| milliseconds(mix.tokens_ahead(priority, 40_000) / 40);
    assert_eq!(
        decide(&needs(2), behind(queue(2), Duration::ZERO), ROOM),
        Answer::Late
    );
    assert_eq!(
        decide(&needs(0), behind(queue(0), Duration::ZERO), ROOM),
        Answer::InTime
    );
}

/// Load: room for late prompts shrinks.
#[test]
fn less_urgent_prompts_leave_room_first() {
    let queue = behind(milliseconds(1_500), Duration::ZERO);
    let answers = [0, 2, 9].map(|priority| decide(&needs(priority), queue, ROOM));
    assert_eq!(answers, [Answer::Late, Answer::Late, Answer::Refused]);
}

/// Load: one replica has a queue and the others have none, or the mean is unknown without a digest.
#[test]
fn a_queue_at_a_single_replica_is_not_an_overload() {
    let hot = behind(milliseconds(2_500), Duration::ZERO).map(|expected| ExpectedFirstEvent {
        mean: milliseconds(50),
        ..expected
    });
    assert_eq!(decide(&needs(2), hot, ROOM), Answer::InTime);
}

/// Load: an overload of long prompts, in which short ones would free no capacity.
#[test]
fn a_short_prompt_is_never_refused() {
    let short = Some(ExpectedFirstEvent {
        own: OBJECTIVE / 20,
        ..behind(milliseconds(5_000), Duration::ZERO).unwrap()
    });
    assert_eq!(decide(&needs(9), short, ROOM), Answer::InTime);
}

/// Load: none, after a wave whose long waits are still in the estimate.
#[test]
fn nothing_is_late_without_a_queue() {
    let idle = Some(ExpectedFirstEvent {
        selected: OBJECTIVE * 2,
        mean: OBJECTIVE * 2,
        after_all: OBJECTIVE * 2,
        own: milliseconds(100),
        own_mean: milliseconds(100),
        mean_queue: Duration::ZERO,
    });
    assert_eq!(decide(&needs(2), idle, ROOM), Answer::InTime);
}

/// Load: a flood at replicas whose memory is taken by open requests.
#[test]
fn a_late_prompt_needs_free_memory_at_its_replica() {
    let queue = behind(milliseconds(1_200), Duration::ZERO);
    let answer = |free_tokens| {
        let room = LateRoom {
            free_tokens,
            request_tokens: 9_000,
            ..ROOM
        };
        decide(&needs(2), queue, room)
    };
    assert_eq!(answer(Some(8_000)), Answer::Refused);
    assert_eq!(answer(Some(9_000)), Answer::Late);
}

/// Load: none; a prompt whose own prefill exceeds the objective.
#[test]
fn a_very_long_prompt_is_not_late_for_its_own_length() {
    let own = milliseconds(1_500);
    let long = Some(ExpectedFirstEvent {
        selected: own + milliseconds(100),
        mean: own + milliseconds(100),
        after_all: own + milliseconds(100),
        own,
        own_mean: own,
        mean_queue: milliseconds(100),
    });
    assert_eq!(decide(&needs(2), long, ROOM), Answer::InTime);
}

/// Load: a queue of half the objective, which the former estimate without a fixed part refused.
#[test]
fn a_prompt_behind_a_queue_within_the_objective_is_in_time() {
    let queue = behind(OBJECTIVE / 2, Duration::ZERO);
    assert_eq!(decide(&needs(9), queue, ROOM), Answer::InTime);
}

/// Load: any; a router that has just started.
#[test]
fn prompts_are_sent_without_an_estimate() {
    assert_eq!(decide(&needs(9), None, ROOM), Answer::InTime);
}

/// Load: late prompts fill their part of the memory.
#[test]
fn late_prompts_hold_a_bounded_part_of_the_memory() {
    // An eighth of 100 replicas with 100,000 tokens each, for 50 routers.
    assert_eq!(late_memory(100_000, 100, 50), Some(25_000));
    assert_eq!(late_memory(0, 100, 50), None);
    assert_eq!(late_memory(100_000, 1, 0), Some(12_500));
    let requests = LateRequests::default();
    let queue = behind(milliseconds(900), Duration::ZERO);
    let answer = |requests: &LateRequests| {
        let room = LateRoom {
            held_tokens: requests.held_tokens(),
            max_tokens: Some(50_000),
            free_tokens: None,
            request_tokens: 20_000,
        };
        decide(&needs(2), queue, room)
    };
    let first = requests.begin(9_000, 20_000);
    let second = requests.begin(9_000, 20_000);
    assert_eq!(answer(&requests), Answer::Refused);
    drop(first);
    assert_eq!(answer(&requests), Answer::Late);
    drop(second);
    assert_eq!(requests.held_tokens(), 0);
}

/// Load: routes whose figures contradict each other.
#[test]
fn odd_routes_get_sensible_answers() {
    let queue = behind(milliseconds(400), Duration::ZERO);
    // The objective exceeds the timeout: what cannot be done in the timeout is refused.
    let impatient = CallerNeeds {
        objective: milliseconds(5_000),
        time_left: milliseconds(200),
        ..needs(0)
    };
    let long = queue.map(|expected| ExpectedFirstEvent {
        own: milliseconds(100),
        ..expected
    });
    assert_eq!(decide(&impatient, long, ROOM), Answer::Refused);
    // No time left at all.
    let expired = CallerNeeds {
        time_left: Duration::ZERO,
        ..needs(0)
    };
    assert_eq!(decide(&expired, queue, ROOM), Answer::Refused);
    let without_objective = CallerNeeds {
        objective: Duration::ZERO,
        ..needs(0)
    };
    assert_eq!(decide(&without_objective, queue, ROOM), Answer::Late);
    assert_eq!(
        decide(&needs(255), queue, ROOM),
        decide(&needs(9), queue, ROOM)
    );
}

#[test]
fn prompts_are_answered_as_before_when_switched_off() {
    let policy = Policy {
        late_service: false,
        ..Policy::ALL
    };
    assert_eq!(AnswerRule::of(policy), AnswerRule::RefuseLate);
    assert_eq!(AnswerRule::of(Policy::ALL), AnswerRule::ThreeAnswers);
    let policy = Policy {
        refuse_late: false,
        ..Policy::ALL
    };
    assert_eq!(AnswerRule::of(policy), AnswerRule::SendAll);
}

#[test]
fn callers_return_with_less_than_the_timeout_of_the_route() {
    assert!(!is_returning(None, TIMEOUT));
    assert!(!is_returning(Some(TIMEOUT), TIMEOUT));
    assert!(!is_returning(Some(milliseconds(60_000)), TIMEOUT));
    // Callers with different timeouts of their own are not taken for returning ones.
    assert!(!is_returning(Some(milliseconds(1_650)), TIMEOUT));
    assert!(is_returning(Some(TIMEOUT * 2 / 3), TIMEOUT));
    assert!(!is_returning(Some(Duration::MAX), Duration::ZERO));
}

#[test]
fn a_queue_is_split_by_what_was_sent_lately() {
    let mut mix = UrgencyMix::default();
    let now = Instant::now();
    mix.record(0, 5_000, now);
    // Too few samples: the whole queue counts.
    assert_eq!(mix.tokens_ahead(0, 1_000), 1_000);
    mix.record(255, 15_000, now);
    assert_eq!(mix.tokens_ahead(0, 1_000), 250);
    assert_eq!(mix.tokens_ahead(8, 1_000), 250);
    assert_eq!(mix.tokens_ahead(255, 1_000), 1_000);
}

fn rank(answer: Answer) -> u8 {
    match answer {
        Answer::InTime => 0,
        Answer::Late => 1,
        Answer::Refused => 2,
    }
}

quickcheck! {
    /// A longer queue never improves an answer.
    fn a_longer_queue_never_helps(queue: u16, more: u16, late: u16, priority: u8) -> bool {
        let late = milliseconds(u64::from(late));
        let (queue, more) = (milliseconds(u64::from(queue)), milliseconds(u64::from(more)));
        let shorter = decide(&needs(priority), behind(queue, late), ROOM);
        let longer = decide(&needs(priority), behind(queue + more, late), ROOM);
        rank(longer) >= rank(shorter)
    }

    /// A more urgent prompt never gets a worse answer than a less urgent one in the same place.
    fn urgency_never_hurts(queue: u16, priority: u8, less: u8) -> bool {
        let queue = behind(milliseconds(u64::from(queue)), Duration::ZERO);
        let urgent = decide(&needs(priority), queue, ROOM);
        rank(urgent) <= rank(decide(&needs(priority.saturating_add(less)), queue, ROOM))
    }

    /// A late prompt is expected to start within the time left.
    fn late_prompts_can_meet_their_deadline(
        queue: u16,
        late: u16,
        left: u16,
        objective: u16,
        is_returning: bool
    ) -> TestResult {
        let expected = behind(milliseconds(u64::from(queue)), milliseconds(u64::from(late)));
        let needs = CallerNeeds {
            objective: milliseconds(u64::from(objective)),
            time_left: milliseconds(u64::from(left)),
            priority: 2,
            is_returning,
        };
        if decide(&needs, expected, ROOM) != Answer::Late {
            return TestResult::discard();
        }
        TestResult::from_bool(expected.unwrap().after_all <= needs.time_left)
    }
}
