// Scenarios in which workers send heartbeats through relays, because controllers have few sockets.
#include <gtest/gtest.h>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// With this limit a controller accepts eight workers; there are up to thirty.
constexpr int kFewSockets = 20;

const Scenario kRelayScenarios[] = {
    {"relays",
     {.lost_responses = 0.01,
      .delayed_requests = 0.01,
      .max_request_delay = 30,
      .cancelled_jobs = 0.3,
      .duplicated_heartbeats = 0.1,
      .sockets = kFewSockets},
     [](World&) {}},
    // Launch commands travel in heartbeat responses delayed by seconds, because some of the
    // leader's direct calls fail. Meanwhile gangs lose tasks, and the direct calls that do arrive
    // stop the rest.
    {"relays_with_slow_answers",
     {.max_request_delay = 20,
      .cancelled_jobs = 0,
      .slow_heartbeat_responses = 0.9,
      .sockets = kFewSockets},
     [](World& world) {
       world.cloud.capacity = 16;
       for (int k = 0; k < 60; ++k) {
         JobSpec spec = testing::spec("job-" + std::to_string(5000 + k), 4, 4);
         spec.team = "blue";
         spec.shape = protocol::Shape::gang;
         spec.estimate_s = 5;
         world.users.submit(spec, 5 + 2 * k);
       }
       for (int k = 0; k < 60; ++k) {
         with_leader(world, 10 + 2 * k, [&world](size_t leader) {
           world.network.refuse_connections(controller_name(leader), kWorkersHost,
                                            1 + world.random_fraction());
         });
         world.events.schedule_at(11 + 2 * k, [&world] {
           for (const auto& worker : world.workers) {
             if (world.random_fraction() < 0.04) worker->set_faulty();
           }
         });
       }
     },
     0},
    {"relays_while_leaders_change",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2,
      .duplicated_heartbeats = 0.1,
      .slow_heartbeat_responses = 0.1,
      .sockets = kFewSockets},
     [](World& world) {
       for (int k = 0; k < 8; ++k) {
         with_leader(world, 20 + 12 * k,
                     [&world, k](size_t leader) { world.crash(leader, k % 2 == 0 ? 0.2 : 4); });
       }
     }},
    {"relays_restart_quickly",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2,
      .duplicated_heartbeats = 0.1,
      .slow_heartbeat_responses = 0.1,
      .sockets = kFewSockets},
     [](World& world) {
       for (int k = 0; k < 12; ++k) {
         world.events.schedule_at(20 + 8 * k, [&world] {
           world.crash((world.leader() + 1) % kControllers, 0.05 + world.random_fraction() * 0.4);
         });
       }
     }},
    {"all_crash_with_relays",
     {.delayed_requests = 0.01,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2,
      .sockets = kFewSockets},
     [](World& world) {
       for (const Seconds when : {40, 90}) {
         world.events.schedule_at(when, [&world] {
           for (size_t i = 0; i < kControllers; ++i) world.crash(i, 3 + static_cast<double>(i));
         });
       }
     }},
    {"controllers_partitioned_with_relays",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2,
      .duplicated_heartbeats = 0.1,
      .sockets = kFewSockets},
     [](World& world) {
       for (const Seconds when : {30, 80}) {
         world.events.schedule_at(when, [&world] {
           for (size_t i = 0; i < kControllers; ++i)
             world.network.partition(controller_name(i), controller_name((i + 1) % kControllers),
                                     25);
         });
       }
     }},
    {"relay_isolated_from_store_and_peers",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.4,
      .duplicated_heartbeats = 0.1,
      .sockets = kFewSockets},
     [](World& world) {
       for (const Seconds when : {25, 75}) {
         world.events.schedule_at(
             when, [&world] { world.isolate_controller((world.leader() + 1) % kControllers, 35); });
         with_leader(world, when + 8, [&world](size_t leader) { world.crash(leader, 4); });
       }
     }},
    {"relays_paused",
     {.lost_responses = 0.005,
      .delayed_requests = 0.01,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2,
      .duplicated_heartbeats = 0.1,
      .slow_heartbeat_responses = 0.1,
      .sockets = kFewSockets},
     [](World& world) {
       for (int k = 0; k < 8; ++k) {
         world.events.schedule_at(20 + 12 * k, [&world, k] {
           world.pause_controller((world.leader() + 1) % kControllers, 1.5 + k);
         });
         with_leader(world, 26 + 24 * k,
                     [&world](size_t leader) { world.pause_controller(leader, 6); });
       }
     }},
};

class RelayScenario : public ::testing::TestWithParam<Scenario> {};

TEST_P(RelayScenario, SatisfiesInvariantsAndFinishesJobs) {
  for (const std::uint64_t seed : {1, 2, 3}) run_and_verify(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, RelayScenario, ::testing::ValuesIn(kRelayScenarios),
                         [](const auto& info) { return std::string(info.param.name); });

// Only a batch from a peer with the leader's current fencing token is answered; nothing else may
// renew a lease.
TEST(RelayBatches, AreAcceptedOnlyFromPeersAndForTheCurrentTerm) {
  World world(1, {});
  world.run(10);
  const size_t leader = world.leader();
  ASSERT_LT(leader, kControllers);
  const std::uint64_t fencing_token = world.controller(leader).election().fencing_token();
  const std::string peer = controller_name((leader + 1) % kControllers);
  const std::string payload =
      R"({"perch":"i-9","address":"10.1.0.9:9000","breed":"small","yard":"east","loaners":false,)"
      R"("flight":1,"tick":1,"baton":0,"recallS":null,"legs":[]})";
  const struct {
    const char* what;
    size_t to;
    std::string member;
    std::uint64_t fencing_token;
    int status;
  } cases[] = {
      {"not a peer", leader, "node-7", fencing_token, 400},
      {"the leader itself", leader, controller_name(leader), fencing_token, 400},
      {"an earlier term", leader, peer, fencing_token - 1, 409},
      {"a later term", leader, peer, fencing_token + 1, 409},
      {"a controller that does not lead", (leader + 1) % kControllers,
       controller_name((leader + 2) % kControllers), fencing_token, 421},
      {"valid", leader, peer, fencing_token, 200},
  };
  for (const auto& test_case : cases) {
    Response got;
    world.controller(test_case.to)
        .handle_peer({"POST", protocol::kRelayPath,
                      protocol::encode_batch(
                          {test_case.member, test_case.fencing_token, {{payload, "", 0, 0, 0}}})},
                     [&](const Response& response) { got = response; });
    EXPECT_EQ(got.status, test_case.status) << test_case.what;
    EXPECT_EQ(got.body.find("baton") != std::string::npos, test_case.status == 200)
        << test_case.what;
  }
  Response got;
  world.controller(leader).handle_peer({"POST", protocol::kRelayPath, "{\"member\":3}"},
                                       [&](const Response& response) { got = response; });
  EXPECT_EQ(got.status, 400);
}

// With few sockets most workers send heartbeats through relays; with many sockets none does.
TEST(RelayAssignment, IsUsedOnlyWhenSocketsAreScarce) {
  for (const int sockets : {kFewSockets, 200}) {
    FaultOptions faults;
    faults.sockets = sockets;
    World world(1, faults);
    world.users.submit_random_jobs(60, 30);
    world.run(40);
    ASSERT_LT(world.leader(), kControllers);
    EXPECT_EQ(world.controller(world.leader()).workers_distributed(), sockets == kFewSockets)
        << sockets;
    EXPECT_EQ(world.network.relay_batches > 0, sockets == kFewSockets) << sockets;
  }
}

}  // namespace

std::span<const Scenario> relay_scenarios() { return kRelayScenarios; }

}  // namespace larkroad::sim
