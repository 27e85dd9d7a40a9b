// Cancellations that one controller confirms while the leader cannot learn of them.
#include <gtest/gtest.h>

#include "log.hpp"
#include "sim/long_jobs.hpp"
#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// A fault in which the leader does not learn of cancellations, and an outage of the store.
struct CancellationGap {
  const char* name;
  // What happens to the leader at 40 s; jobs are cancelled from 40.5 s on.
  std::function<void(World&, size_t)> fault;
  Seconds outage_at;
};

std::ostream& operator<<(std::ostream& out, const CancellationGap& gap) { return out << gap.name; }

const CancellationGap kCancellationGaps[] = {
    // Refused alone, then an outage for all beyond `cancellation_limit_s`. Seen in production.
    {"refused_alone",
     [](World& world, size_t leader) {
       world.network.refused_by_store.insert(controller_name(leader));
       partition_from_peers(world, leader, 100);
       world.events.schedule_at(54, [&world] { world.network.refused_by_store.clear(); });
     },
     42},
    {"refused_alone_and_told_by_peers",
     [](World& world, size_t leader) {
       world.network.refused_by_store.insert(controller_name(leader));
       world.events.schedule_at(54, [&world] { world.network.refused_by_store.clear(); });
     },
     42},
    // Its lease is renewed all the time, yet the watch on the jobs brings nothing.
    {"watch_held_up",
     [](World& world, size_t leader) {
       world.store.hold_watches(controller_name(leader), 140);
       partition_from_peers(world, leader, 100);
     },
     1000},
    {"watch_held_up_then_an_outage",
     [](World& world, size_t leader) {
       world.store.hold_watches(controller_name(leader), 52);
       partition_from_peers(world, leader, 100);
     },
     50},
    // Held up from before the cancellations until after an outage: it leads again at 58 s.
    {"leads_again_before_its_watch",
     [](World& world, size_t leader) {
       world.store.hold_watches(controller_name(leader), 140);
       partition_from_peers(world, leader, 100);
       world.events.schedule_at(46, [&world] { world.store.set_outage(true); });
       world.events.schedule_at(58, [&world] { world.store.set_outage(false); });
     },
     1000},
    {"slow_to_hear",
     [](World& world, size_t leader) {
       world.store.hold_watches(controller_name(leader), 44);
       world.network.refused_by_store.insert(controller_name((leader + 1) % kControllers));
       partition_from_peers(world, leader, 100);
       world.events.schedule_at(60, [&world] { world.network.refused_by_store.clear(); });
     },
     43.5},
};

class CancellationDuringPartition : public ::testing::TestWithParam<CancellationGap> {};

// Another controller confirms cancellations that the leader does not hear of. Whatever it goes on
// doing for its workers, the tasks must be gone in time, and no new one may be launched.
TEST_P(CancellationDuringPartition, CancelledTasksAreGoneInTime) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    spdlog::set_level(std::getenv("LOG_LEVEL") ? spdlog::level::debug : spdlog::level::err);
    World world(seed, {});
    submit_long_jobs(world);
    with_leader(world, 40, [&world](size_t leader) { GetParam().fault(world, leader); });
    world.events.schedule_at(40.5, [&world] { world.users.cancel_running_jobs(6); });
    world.events.schedule_at(GetParam().outage_at, [&world] { world.store.set_outage(true); });
    world.events.schedule_at(GetParam().outage_at + 40,
                             [&world] { world.store.set_outage(false); });
    world.run(39);
    ASSERT_GT(running_long_jobs(world), 4u);
    world.run(200);
    for (const auto& line : world.invariants.violations()) ADD_FAILURE() << line;
  }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, CancellationDuringPartition,
                         ::testing::ValuesIn(kCancellationGaps),
                         [](const auto& info) { return std::string(info.param.name); });

// A leader that has just been elected has read nothing of the jobs yet: when the store has an
// outage at that very moment it must not keep alive what was cancelled before.
TEST(CancellationDuringFailover, IsCarriedOutByALeaderThatIsStillLoading) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    spdlog::set_level(std::getenv("LOG_LEVEL") ? spdlog::level::debug : spdlog::level::err);
    World world(seed, {});
    submit_long_jobs(world);
    // The leader does not learn of the cancellations, and crashes.
    with_leader(world, 40, [&world](size_t leader) {
      world.store.hold_watches(controller_name(leader), 140);
      partition_from_peers(world, leader, 100);
      world.events.schedule_at(41.5, [&world, leader] { world.crash(leader, 100); });
    });
    world.events.schedule_at(40.2, [&world] { world.users.cancel_running_jobs(6); });
    bool outage = false;
    std::function<void()> watch_election = [&] {
      for (size_t i = 0; i < kControllers && !outage; ++i) {
        if (world.is_up(i) && world.controller(i).election().holds_leader_key() &&
            world.events.now() > 42) {
          outage = true;
          world.store.set_outage(true);
          world.events.schedule_at(world.events.now() + 40,
                                   [&world] { world.store.set_outage(false); });
        }
      }
      if (!outage) world.events.schedule_at(world.events.now() + 0.0005, watch_election);
    };
    world.events.schedule_at(42, watch_election);
    world.run(200);
    EXPECT_TRUE(outage);
    for (const auto& line : world.invariants.violations()) ADD_FAILURE() << line;
  }
}

// Where the peers reach it, a leader that the store refuses learns of a cancellation at
// once, and stops the tasks although it may start nothing.
TEST(CancellationNotifier, ReachesALeaderThatTheStoreRefuses) {
  World world(1, {});
  submit_long_jobs(world);
  with_leader(world, 40, [&world](size_t leader) {
    world.network.refused_by_store.insert(controller_name(leader));
  });
  world.events.schedule_at(40.2, [&world] { world.users.cancel_running_jobs(kLongJobs); });
  world.run(39);
  ASSERT_EQ(running_long_jobs(world), kLongJobs);
  world.run(41.5);  // before anybody else can lead
  ASSERT_EQ(world.leader(), kControllers);
  world.run(42);
  EXPECT_EQ(running_long_jobs(world), 0u);
}

// What a peer says of a cancellation changes nothing unless it is for a job of this leadership, and
// it is the record that counts in the end.
TEST(CancellationNotifier, AcceptsMessagesFromPeersOnly) {
  World world(1, {});
  submit_long_jobs(world);
  world.run(30);
  const size_t leader = world.leader();
  ASSERT_LT(leader, kControllers);
  const std::string peer = controller_name((leader + 1) % kControllers);
  const auto message = [](const std::string& member, const std::string& job) {
    return Json{{"member", member}, {"job", job}}.dump();
  };
  const struct {
    const char* what;
    size_t to;
    std::string body;
    int status;
    size_t still_running;
  } cases[] = {
      {"not a peer", leader, message("node-7", "job-100"), 400, kLongJobs},
      {"itself", leader, message(controller_name(leader), "job-100"), 400, kLongJobs},
      {"an unknown job", leader, message(peer, "job-999"), 400, kLongJobs},
      {"malformed", leader, "{\"member\":3}", 400, kLongJobs},
      {"not JSON", leader, "cancelled", 400, kLongJobs},
      {"a controller that does not lead", (leader + 1) % kControllers,
       message(controller_name((leader + 2) % kControllers), "job-100"), 200, kLongJobs},
      {"valid", leader, message(peer, "job-100"), 200, kLongJobs - 1},
  };
  for (const auto& test_case : cases) {
    Response got;
    world.controller(test_case.to)
        .handle_peer({"POST", "/cancelled", test_case.body},
                     [&](const Response& response) { got = response; });
    EXPECT_EQ(got.status, test_case.status) << test_case.what;
    world.run(world.events.now() + 0.05);
    EXPECT_EQ(running_long_jobs(world), test_case.still_running) << test_case.what;
  }
  // That one was false: no record makes it durable, and the job runs again.
  world.run(world.events.now() + 10);
  EXPECT_EQ(running_long_jobs(world), kLongJobs);
  // A true one that arrives once more when the job is over.
  world.users.cancel_running_jobs(kLongJobs);
  world.run(world.events.now() + 10);
  EXPECT_EQ(running_long_jobs(world), 0u);
  Response got;
  world.controller(leader).handle_peer({"POST", "/cancelled", message(peer, "job-100")},
                                       [&](const Response& response) { got = response; });
  EXPECT_EQ(got.status, 400);
  EXPECT_TRUE(world.invariants.violations().empty());
}

}  // namespace
}  // namespace larkroad::sim
