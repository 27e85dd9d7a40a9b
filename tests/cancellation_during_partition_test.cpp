// Cancellations confirmed by one controller while the leader cannot learn of them.
#include <gtest/gtest.h>

#include "log.hpp"
#include "sim/long_jobs.hpp"
#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// A fault that prevents the leader from learning of cancellations, and a store outage.
struct CancellationFaultCase {
  const char* name;
  // Applied to the leader at 40 s; jobs are cancelled at 40.5 s.
  std::function<void(World&, size_t)> fault;
  Seconds outage_at;
};

std::ostream& operator<<(std::ostream& out, const CancellationFaultCase& fault_case) {
  return out << fault_case.name;
}

const CancellationFaultCase kCancellationFaultCases[] = {
    // The store refuses only the leader; an outage for all controllers then lasts longer than
    // `cancellation_limit_s`. Seen in production.
    {"store_refuses_leader",
     [](World& world, size_t leader) {
       world.network.refused_by_store.insert(controller_name(leader));
       partition_from_peers(world, leader, 100);
       world.events.schedule_at(54, [&world] { world.network.refused_by_store.clear(); });
     },
     42},
    {"store_refuses_leader_and_peers_notify_it",
     [](World& world, size_t leader) {
       world.network.refused_by_store.insert(controller_name(leader));
       world.events.schedule_at(54, [&world] { world.network.refused_by_store.clear(); });
     },
     42},
    // The leader's lease is renewed throughout, but its job watch is not answered.
    {"job_watch_delayed",
     [](World& world, size_t leader) {
       world.store.hold_watches(controller_name(leader), 140);
       partition_from_peers(world, leader, 100);
     },
     1000},
    {"job_watch_delayed_then_outage",
     [](World& world, size_t leader) {
       world.store.hold_watches(controller_name(leader), 52);
       partition_from_peers(world, leader, 100);
     },
     50},
    // The watch is delayed from before the cancellations until after an outage, at whose end (58 s)
    // the leader's lease is valid again.
    {"lease_recovers_before_job_watch",
     [](World& world, size_t leader) {
       world.store.hold_watches(controller_name(leader), 140);
       partition_from_peers(world, leader, 100);
       world.events.schedule_at(46, [&world] { world.store.set_outage(true); });
       world.events.schedule_at(58, [&world] { world.store.set_outage(false); });
     },
     1000},
    {"job_watch_delayed_and_peer_refused",
     [](World& world, size_t leader) {
       world.store.hold_watches(controller_name(leader), 44);
       world.network.refused_by_store.insert(controller_name((leader + 1) % kControllers));
       partition_from_peers(world, leader, 100);
       world.events.schedule_at(60, [&world] { world.network.refused_by_store.clear(); });
     },
     43.5},
};

class CancellationDuringPartition : public ::testing::TestWithParam<CancellationFaultCase> {};

// Another controller confirms cancellations that the leader does not learn of. Although the leader
// may go on answering heartbeats, the cancelled tasks must stop within the cancellation limit and
// none may be launched.
TEST_P(CancellationDuringPartition, CancelledTasksStopInTime) {
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
                         ::testing::ValuesIn(kCancellationFaultCases),
                         [](const auto& info) { return std::string(info.param.name); });

// A newly elected leader has not read the job records yet. If a store outage begins at that moment,
// the leader must not keep tasks running that were cancelled before.
TEST(CancellationDuringFailover, IsEnforcedWhileTheNewLeaderIsLoading) {
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
    std::function<void()> start_outage_once_elected = [&] {
      for (size_t i = 0; i < kControllers && !outage; ++i) {
        if (world.is_up(i) && world.controller(i).election().holds_leader_key() &&
            world.events.now() > 42) {
          outage = true;
          world.store.set_outage(true);
          world.events.schedule_at(world.events.now() + 40,
                                   [&world] { world.store.set_outage(false); });
        }
      }
      if (!outage) world.events.schedule_at(world.events.now() + 0.0005, start_outage_once_elected);
    };
    world.events.schedule_at(42, start_outage_once_elected);
    world.run(200);
    EXPECT_TRUE(outage);
    for (const auto& line : world.invariants.violations()) ADD_FAILURE() << line;
  }
}

// A leader that the store refuses but that peers reach learns of a cancellation immediately from
// their notice, and stops the tasks although it may not act otherwise.
TEST(CancellationNotifier, ReachesALeaderThatTheStoreRefuses) {
  World world(1, {});
  submit_long_jobs(world);
  with_leader(world, 40, [&world](size_t leader) {
    world.network.refused_by_store.insert(controller_name(leader));
  });
  world.events.schedule_at(40.2, [&world] { world.users.cancel_running_jobs(kLongJobs); });
  world.run(39);
  ASSERT_EQ(running_long_jobs(world), kLongJobs);
  world.run(41.5);  // before another leader can be elected
  ASSERT_EQ(world.leader(), kControllers);
  world.run(42);
  EXPECT_EQ(running_long_jobs(world), 0u);
}

// A cancellation notice has an effect only if it comes from a peer and names a job that the leader
// knows. It stops tasks but is not durable: the job record decides whether the job is cancelled.
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
    size_t expected_running;
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
    EXPECT_EQ(running_long_jobs(world), test_case.expected_running) << test_case.what;
  }
  // The notice was false: no job record confirms the cancellation, so the job is started again.
  world.run(world.events.now() + 10);
  EXPECT_EQ(running_long_jobs(world), kLongJobs);
  // A repeated notice of a real cancellation, received after the job has finished.
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
