// Leader failover: its duration, the choice of the new leader, and late transactions of old
// leaders.
#include <gtest/gtest.h>

#include "sim/long_jobs.hpp"
#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// A new leader's reads of the records must not queue behind reads for users' status queries. When
// they did, loading took 48 s and the worker leases expired meanwhile.
TEST(Failover, IsNotDelayedByStatusQueries) {
  FaultOptions faults;
  faults.status_query_rate = 30;
  World world(1, faults);
  submit_long_jobs(world);
  for (int k = 0; k < 150; ++k) {
    JobSpec spec = testing::spec("job-" + std::to_string(3000 + k), 1, 16);
    spec.team = k % 2 == 0 ? "red" : "blue";
    spec.estimate_s = 400;
    world.users.submit(spec, 3 + 0.1 * k);
  }
  world.run(40);
  ASSERT_LT(world.leader(), kControllers);
  world.crash(world.leader(), 30);
  // The old leader's lease (1/6 of a worker lease) expires first; the other controllers notice
  // within one blocking period of their watch, which is as long.
  world.run(40 + 2 * world.settings.lease_s / 6);
  EXPECT_LT(world.leader(), kControllers);
  EXPECT_EQ(running_long_jobs(world), kLongJobs);
  for (const auto& line : world.invariants.violations()) ADD_FAILURE() << line;
}

// A leader that is partitioned from the workers only steps down in favor of a controller that they
// reach, before the worker leases expire.
TEST(Failover, MovesLeadershipToAControllerThatWorkersReach) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    World world(seed, {});
    submit_long_jobs(world);
    size_t first = kControllers;
    with_leader(world, 40, [&](size_t leader) {
      first = leader;
      world.network.partition(controller_name(leader), kWorkersHost, 60);
    });
    world.run(39);
    ASSERT_GT(running_long_jobs(world), 4u);
    const size_t before = running_long_jobs(world);
    world.run(40 + 0.8 * world.settings.lease_s);
    ASSERT_LT(world.leader(), kControllers);
    EXPECT_NE(world.leader(), first);
    world.run(40 + 3 * world.settings.lease_s);
    EXPECT_EQ(running_long_jobs(world), before) << "seed " << seed;
    EXPECT_NE(world.leader(), first);  // leadership does not move back
    for (const auto& line : world.invariants.violations()) ADD_FAILURE() << line;
  }
}

// Classifies a transaction by its first write.
std::string kind_of_transaction(const Json& transaction) {
  const Json& first = transaction.at("apply").at(0);
  if (first.contains("drop")) return "garbage collection";
  std::string key = first.at("write");
  const Json& data = first.at("data");
  if (key == "leader") return data.contains("raised") ? "raised token" : "leader key";
  if (key.starts_with("d/")) return "finished job";
  if (key.starts_with("j/")) return data.contains("cancelled") ? "cancellation" : "submission";
  if (key.starts_with("m/")) return "images";
  if (key.starts_with("p/")) return data.contains("done") ? "completion" : "placement";
  if (key.starts_with("v/")) return "version";
  return key;
}

// Simulates a run with several leaders, then replays all its transactions after all jobs have
// finished and another leader has been elected. Each must be rejected and leave no records behind.
void expect_late_transactions_rejected(std::uint64_t seed, std::map<std::string, int>& seen) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  FaultOptions faults;
  faults.lost_responses = 0.02;
  faults.delayed_requests = 0.02;
  faults.max_request_delay = 12;
  faults.cancelled_jobs = 0.3;
  World world(seed, faults);
  world.users.submit_random_jobs(60, 90);
  for (int k = 0; k < 4; ++k) {
    with_leader(world, 30 + 25 * k, [&](size_t leader) { world.crash(leader, 2); });
  }
  world.run(420);
  ASSERT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  with_leader(world, 421, [&](size_t leader) { world.crash(leader, 2); });
  // The election may take longer, as its replies can be lost or delayed too.
  world.run(440);
  for (Seconds when = 441; when < 480 && world.leader() == kControllers; ++when) world.run(when);
  ASSERT_LT(world.leader(), kControllers);
  ASSERT_FALSE(world.store.has_keys("j/") || world.store.has_keys("p/"));
  // Copied, because the replays below are recorded as committed transactions as well.
  const auto transactions = world.network.committed_transactions;
  for (const auto& transaction : transactions) {
    const std::string kind = kind_of_transaction(Json::parse(transaction.second.body));
    ++seen[kind];
    const int status = world.replay_commit(transaction);
    // The leader key is written under a lease. Once the lease is gone, the write is rejected with
    // 400 before its preconditions are checked.
    const bool leased = kind == "leader key" || kind == "raised token";
    EXPECT_TRUE(status == 409 || (leased && status == 400)) << kind << ": " << status;
  }
  EXPECT_FALSE(world.store.has_keys("j/") || world.store.has_keys("p/"));
  world.run(490);
  for (const auto& line : world.invariants.violations()) ADD_FAILURE() << line;
}

// Uses several seeds because a single run may lack a kind of transaction: raised tokens are rare.
TEST(LateTransactions, OfEveryKindAreRejected) {
  std::map<std::string, int> seen;
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) expect_late_transactions_rejected(seed, seen);
  for (const char* kind :
       {"submission", "cancellation", "placement", "completion", "finished job", "leader key",
        "raised token", "images", "catalog", "garbage collection", "version"}) {
    EXPECT_GT(seen[kind], 0) << kind;
  }
}

}  // namespace
}  // namespace larkroad::sim
