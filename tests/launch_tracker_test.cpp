#include "coordination/cluster_state/launch_tracker.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>

namespace larkroad::coordination {
namespace {

constexpr std::uint64_t kToken = 7;
constexpr std::uint64_t kSequence = 20;
const LaunchKey kLaunch{{"job", 0}, 1};

/// Which launches of the attempt were sent, and what has happened to them since.
struct LaunchCase {
  const char* name;
  std::function<void(LaunchTracker&)> events;
  bool unresolved;
  bool call_pending;
  bool copies;
  bool repeatable;
};

const LaunchCase kLaunchCases[] = {
    {"nothing sent", [](LaunchTracker&) {}, false, false, false, true},
    {"call pending", [](LaunchTracker& t) { t.add_call(kLaunch, kToken); }, true, true, true,
     false},
    {"call unanswered",
     [](LaunchTracker& t) {
       t.add_call(kLaunch, kToken);
       t.call_unanswered(kLaunch);
     },
     true, false, true, true},
    {"call answered",
     [](LaunchTracker& t) {
       t.add_call(kLaunch, kToken);
       t.call_answered(kLaunch);
     },
     false, false, true, true},
    {"call dropped",
     [](LaunchTracker& t) {
       t.add_call(kLaunch, kToken);
       t.call_dropped(kLaunch);
     },
     false, false, false, true},
    {"call under the token that the worker has seen",
     [](LaunchTracker& t) {
       t.add_call(kLaunch, kToken);
       t.worker_saw_token(kToken);
     },
     true, true, true, false},
    {"call fenced",
     [](LaunchTracker& t) {
       t.add_call(kLaunch, kToken);
       t.worker_saw_token(kToken + 1);
     },
     false, false, false, true},
    {"call before the worker's next heartbeat",
     [](LaunchTracker& t) {
       t.add_call(kLaunch, kToken);
       t.worker_sent_heartbeat(kSequence + 1);
     },
     true, true, true, false},
    {"inherited", [](LaunchTracker& t) { t.add_inherited(kLaunch, kToken); }, true, false, true,
     true},
    {"response in transit",
     [](LaunchTracker& t) {
       t.add_response(kLaunch, kToken, kSequence);
       t.worker_sent_heartbeat(kSequence);
     },
     true, false, false, false},
    {"response processed",
     [](LaunchTracker& t) {
       t.add_response(kLaunch, kToken, kSequence);
       t.worker_sent_heartbeat(kSequence + 1);
     },
     false, false, false, true},
    {"response fenced",
     [](LaunchTracker& t) {
       t.add_response(kLaunch, kToken, kSequence);
       t.worker_saw_token(kToken + 1);
     },
     false, false, false, true},
    {"response beside a fenced call",
     [](LaunchTracker& t) {
       t.add_call(kLaunch, kToken - 1);
       t.call_unanswered(kLaunch);
       t.add_response(kLaunch, kToken, kSequence);
       t.worker_saw_token(kToken);
     },
     true, false, false, false},
    {"response beside a fenced inherited launch",
     [](LaunchTracker& t) {
       t.add_inherited(kLaunch, kToken - 1);
       t.add_response(kLaunch, kToken, kSequence);
       t.worker_saw_token(kToken);
     },
     true, false, false, false},
    {"response beside an answered call",
     [](LaunchTracker& t) {
       t.add_call(kLaunch, kToken);
       t.add_response(kLaunch, kToken, kSequence);
       t.call_answered(kLaunch);
     },
     true, false, true, false},
    {"unanswered call beside a processed response",
     [](LaunchTracker& t) {
       t.add_call(kLaunch, kToken);
       t.call_unanswered(kLaunch);
       t.add_response(kLaunch, kToken, kSequence);
       t.worker_sent_heartbeat(kSequence + 1);
     },
     true, false, true, true},
    {"new incarnation",
     [](LaunchTracker& t) {
       t.add_call(kLaunch, kToken);
       t.add_response(kLaunch, kToken, kSequence);
       t.clear();
     },
     false, false, false, true},
};

// Guards against a launch that is no longer recorded because another one of the same attempt, which
// went by the other route, was sent or has ended.
TEST(LaunchTracker, RecordsTheLaunchesOfEachRouteByThemselves) {
  for (const auto& [name, events, unresolved, call_pending, copies, repeatable] : kLaunchCases) {
    SCOPED_TRACE(name);
    LaunchTracker tracker;
    events(tracker);
    EXPECT_EQ(tracker.is_unresolved(kLaunch), unresolved);
    EXPECT_EQ(tracker.is_call_pending(kLaunch), call_pending);
    EXPECT_EQ(tracker.may_have_copies(kLaunch), copies);
    EXPECT_EQ(tracker.may_repeat(kLaunch), repeatable);
    EXPECT_EQ(tracker.empty(), !unresolved && !copies);
  }
}

TEST(LaunchTracker, ReturnsResolvedLaunchesOfUnknownOutcome) {
  LaunchTracker tracker;
  const LaunchKey answered{{"job", 1}, 1};
  tracker.add_call(kLaunch, kToken);
  tracker.add_response(kLaunch, kToken + 1, kSequence);
  tracker.add_call(answered, kToken);
  tracker.call_answered(answered);
  EXPECT_EQ(tracker.unresolved_call_token(kLaunch), kToken);
  EXPECT_EQ(tracker.unresolved_call_token(answered), std::nullopt);

  const auto fenced = tracker.worker_saw_token(kToken + 1);
  ASSERT_EQ(fenced.size(), 1u);
  EXPECT_EQ(fenced[0].launch, kLaunch);
  EXPECT_EQ(fenced[0].fencing_token, kToken);
  const auto processed = tracker.worker_sent_heartbeat(kSequence + 1);
  ASSERT_EQ(processed.size(), 1u);
  EXPECT_EQ(processed[0].launch, kLaunch);
  EXPECT_EQ(processed[0].fencing_token, kToken + 1);
  EXPECT_TRUE(tracker.empty());
}

}  // namespace
}  // namespace larkroad::coordination
