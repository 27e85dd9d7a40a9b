// What a change of leader takes and leaves behind: its time, where it goes, and late transactions.
#include <gtest/gtest.h>

#include "sim/long_jobs.hpp"
#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// A new leader's reads of the records do not queue behind the reads of users' status queries. When
// they did, loading once took 48 s, in which the workers' leases expired.
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
  // Its lease ends first, and the controllers find out within one wait of their watch.
  world.run(40 + 2 * world.settings.lease_s / 6);
  EXPECT_LT(world.leader(), kControllers);
  EXPECT_EQ(running_long_jobs(world), kLongJobs);
  for (const auto& line : world.invariants.violations()) ADD_FAILURE() << line;
}

// A leader that loses only the workers steps down for one that they reach, before their leases
// expire.
TEST(Failover, MovesTheLeadToAControllerThatWorkersReach) {
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
    EXPECT_NE(world.leader(), first);  // the lead is not passed back
    for (const auto& line : world.invariants.violations()) ADD_FAILURE() << line;
  }
}

// What a transaction was written for.
std::string kind_of_transaction(const Json& transaction) {
  const Json& first = transaction.at("apply").at(0);
  if (first.contains("drop")) return "leftovers";
  std::string key = first.at("write");
  const Json& data = first.at("data");
  if (key == "leader") return data.contains("raised") ? "raised token" : "leader key";
  if (key.starts_with("d/")) return "end of a job";
  if (key.starts_with("j/")) return data.contains("cancelled") ? "cancellation" : "submission";
  if (key.starts_with("m/")) return "images";
  if (key.starts_with("p/")) return data.contains("done") ? "completion" : "placement";
  if (key.starts_with("v/")) return "version";
  return key;
}

// Plays a run with several leaders and carries out all its transactions once more when all jobs are
// over and another one leads: each is refused, and leaves nothing behind.
void refuses_late_transactions(std::uint64_t seed, std::map<std::string, int>& seen) {
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
  // The answers that an election needs may be late, too.
  world.run(440);
  for (Seconds when = 441; when < 480 && world.leader() == kControllers; ++when) world.run(when);
  ASSERT_LT(world.leader(), kControllers);
  ASSERT_FALSE(world.store.has_keys("j/") || world.store.has_keys("p/"));
  // A copy: no transaction below may count as one of the run.
  const auto transactions = world.network.committed_transactions;
  for (const auto& transaction : transactions) {
    const std::string which = kind_of_transaction(Json::parse(transaction.second.body));
    ++seen[which];
    const int status = world.replay_commit(transaction);
    // The leader's key goes with its lease: without it the write is refused before its
    // preconditions.
    const bool leased = which == "leader key" || which == "raised token";
    EXPECT_TRUE(status == 409 || (leased && status == 400)) << which << ": " << status;
  }
  EXPECT_FALSE(world.store.has_keys("j/") || world.store.has_keys("p/"));
  world.run(490);
  for (const auto& line : world.invariants.violations()) ADD_FAILURE() << line;
}

// A run with one seed need not have a transaction of each kind: a raised token is rare.
TEST(LateTransactions, OfEveryKindAreRefused) {
  std::map<std::string, int> seen;
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) refuses_late_transactions(seed, seen);
  for (const char* which :
       {"submission", "cancellation", "placement", "completion", "end of a job", "leader key",
        "raised token", "images", "catalog", "leftovers", "version"}) {
    EXPECT_GT(seen[which], 0) << which;
  }
}

}  // namespace
}  // namespace larkroad::sim
