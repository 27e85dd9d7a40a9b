// Controllers whose watches would have to start before the changes that the key-value store
// retains.
#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

#include "log.hpp"
#include "sim/long_jobs.hpp"
#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

constexpr Seconds kFaultBegins = 30;
constexpr Seconds kFaultEnds = 50;
constexpr Seconds kObservation = 60;
// A load balancer notices an unhealthy controller within a few seconds.
constexpr Seconds kAnswerWithin = 2;
constexpr const char* kQueriedJob = "job-100";

void make_changes_unavailable(World& world) {
  world.store.make_unrelated_changes(FakeKeyValueStore::kRetainedChanges + 1);
}

size_t some_follower(const World& world) { return (world.leader() + 1) % kControllers; }

void refuse(World& world, size_t controller) {
  world.network.refused_by_store.insert(controller_name(controller));
  world.events.schedule_at(kFaultEnds, [&world] { world.network.refused_by_store.clear(); });
}

struct CompactionCase {
  const char* name;
  /// Applied when the fault begins; over by kFaultEnds.
  std::function<void(World&)> fault;
};

std::ostream& operator<<(std::ostream& out, const CompactionCase& compaction_case) {
  return out << compaction_case.name;
}

const CompactionCase kCompactionCases[] = {
    {"nobody_restarts", make_changes_unavailable},
    {"follower_restarts",
     [](World& world) {
       make_changes_unavailable(world);
       world.crash(some_follower(world), 6);
     }},
    {"follower_restarts_within_a_second",
     [](World& world) {
       make_changes_unavailable(world);
       world.crash(some_follower(world), 0.2);
     }},
    {"leader_restarts",
     [](World& world) {
       make_changes_unavailable(world);
       world.crash(world.leader(), 6);
     }},
    {"all_restart",
     [](World& world) {
       make_changes_unavailable(world);
       for (size_t i = 0; i < kControllers; ++i) world.crash(i, 6);
     }},
    {"follower_refused_for_a_while",
     [](World& world) {
       refuse(world, some_follower(world));
       world.events.schedule_at(kFaultBegins + 5, [&world] { make_changes_unavailable(world); });
     }},
    {"leader_refused_for_a_while",
     [](World& world) {
       refuse(world, world.leader());
       world.events.schedule_at(kFaultBegins + 5, [&world] { make_changes_unavailable(world); });
     }},
    {"watches_of_a_follower_held_up",
     [](World& world) {
       world.store.hold_watches(controller_name(some_follower(world)), kFaultEnds);
       world.events.schedule_at(kFaultBegins + 5, [&world] { make_changes_unavailable(world); });
     }},
    {"restart_in_a_store_outage",
     [](World& world) {
       make_changes_unavailable(world);
       world.store.set_outage(true);
       world.crash(some_follower(world), 1);
       world.events.schedule_at(kFaultEnds, [&world] { world.store.set_outage(false); });
     }},
    // The controller that restarted is the only one left to be elected.
    {"elected_after_a_restart",
     [](World& world) {
       make_changes_unavailable(world);
       const size_t follower = some_follower(world);
       world.crash(follower, 1);
       world.events.schedule_at(kFaultEnds - 3, [&world, follower] {
         for (size_t i = 0; i < kControllers; ++i) {
           if (i != follower) world.crash(i, 8);
         }
       });
     }},
};

class CompactedStore : public ::testing::TestWithParam<CompactionCase> {
 protected:
  CompactedStore() : world_(1, {}) {
    spdlog::set_level(spdlog::level::err);
    submit_long_jobs(world_);
    world_.events.schedule_at(kFaultBegins, [this] { GetParam().fault(world_); });
    world_.users.submit(testing::spec("job-200"), kFaultEnds + 1);
    world_.run(kFaultEnds);
  }

  bool answers_query(size_t controller) {
    int status = 0;
    world_.controller(controller)
        .handle_client({"GET", std::string("/v2/runs/") + kQueriedJob, ""},
                       [&status](const Response& response) { status = response.status; });
    world_.run(world_.events.now() + kAnswerWithin);
    return status == 200;
  }

  World world_;
};

// Guards against a controller that starts its watch over and over, as the store no longer retains
// the changes after the revision from which it asks: it used the limits up, and no user's request
// was sent.
TEST_P(CompactedStore, LeavesUsersTheirShareOfTheRequests) {
  // From here on every controller of the run is up and has had a worker lease to settle.
  world_.run(kFaultEnds + 2 * world_.settings.lease_s);
  auto requests = world_.store.requests_of;
  const size_t refusals = world_.store.rate_refusals;
  const Seconds begin = world_.events.now();
  while (world_.events.now() < begin + kObservation) {
    for (size_t i = 0; i < kControllers; ++i) {
      EXPECT_TRUE(answers_query(i)) << "controller " << i << " at " << world_.events.now();
    }
  }
  const Seconds observed = world_.events.now() - begin;
  for (size_t i = 0; i < kControllers; ++i) {
    const std::string name = controller_name(i);
    const auto sent = static_cast<double>(world_.store.requests_of[name] - requests[name]);
    EXPECT_LT(sent / observed, world_.settings.store_limits.rps / kControllers / 2) << name;
  }
  EXPECT_EQ(world_.store.rate_refusals, refusals);
  expect_no_violations(world_);
}

// Guards against a new leader that starts nothing, as it has overdrawn its share before.
TEST_P(CompactedStore, StartsNewJobsSoonAfterwards) {
  world_.run(kFaultEnds + 2 * world_.settings.lease_s);
  EXPECT_FALSE(world_.tasks.starts_of("job-200").empty());
  expect_no_violations(world_);
}

INSTANTIATE_TEST_SUITE_P(Cases, CompactedStore, ::testing::ValuesIn(kCompactionCases),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace larkroad::sim
