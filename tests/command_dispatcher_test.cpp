#include "coordination/workers/command_dispatcher.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "fakes/manual_clock.hpp"
#include "support.hpp"

namespace larkroad::coordination {
namespace {

using protocol::Command;
using protocol::CommandType;
using transport::Outcome;

constexpr std::uint64_t kToken = 7;
constexpr Seconds kBatchWait = 0.02;  // longer than the batching delay of commands

/// Records calls; the test answers them.
class PendingClient : public transport::Client {
 public:
  struct Call {
    std::string endpoint;
    transport::Request request;
    transport::OnReply on_reply;
  };
  void call(const std::string& endpoint, transport::Request request, Seconds /*timeout*/,
            transport::OnReply on_reply) override {
    calls.push_back({endpoint, std::move(request), std::move(on_reply)});
  }
  std::vector<Call> calls;
};

/// The dispatcher of a leader with two machines and a job of two tasks, one placed on each machine.
class CommandDispatcherTest : public ::testing::Test {
 protected:
  CommandDispatcherTest() {
    cluster.set_types(testing::types());
    for (const std::string name : {"m-1", "m-2"}) {
      testing::add_machine(cluster, name, "small").address = name + ":1";
    }
    job = &testing::add_job(cluster, testing::spec("job", 2));
    cluster.place(*job, 0, cluster.machine("m-1"), 1, clock.now());
    cluster.place(*job, 1, cluster.machine("m-2"), 1, clock.now());
    dispatcher.restart();
  }

  CommandDispatcher::Callbacks callbacks() {
    return {
        .is_leader = [this] { return is_leading; },
        .fencing_token = [this] { return fencing_token; },
        .raise_fencing_token = [this] { ++fencing_token; },
        .observe_fencing_token = [this](std::uint64_t token) { observed_tokens.push_back(token); },
        .process_heartbeat =
            [this](const protocol::Heartbeat& heartbeat) {
              processed.push_back(heartbeat.sequence);
              return follow_up;
            },
        .machine_answered = [this](Machine& machine) { answered.push_back(machine.name); },
        .worker_restarted = [this](Machine& machine) { restarted.push_back(machine.name); },
        .machine_unanswered = [this](Machine& machine) { unanswered.push_back(machine.name); },
        .request_scheduling_cycle = [this] { ++requested_cycles; },
    };
  }

  static Command launch_command(std::uint32_t task) {
    return {CommandType::launch, {"job", task}, 1, 0};
  }
  static Command kill_command(std::uint32_t task) {
    return {CommandType::kill, {"job", task}, 1, 0};
  }
  static std::string status(std::uint64_t token) {
    return R"({"perch":"m-1","address":"m-1:1","breed":"small","yard":"east","loaners":false,)"
           R"("flight":1,"tick":5,"baton":)" +
           std::to_string(token) + R"(,"legs":[]})";
  }
  static std::string commands(const Commands& expected, std::uint64_t token = kToken) {
    return protocol::encode_commands(token, 1, expected);
  }

  Machine& machine(const std::string& name) { return cluster.machine(name); }
  bool is_unresolved(const std::string& name, std::uint32_t task) {
    return machine(name).launches.is_unresolved({{"job", task}, 1});
  }

  const Settings settings = testing::settings();
  testing::ManualClock clock{100};
  PendingClient client;
  ClusterState cluster{settings};
  Job* job = nullptr;
  bool is_leading = true;
  std::uint64_t fencing_token = kToken;
  std::vector<std::uint64_t> observed_tokens;
  std::vector<std::uint64_t> processed;
  Commands follow_up;
  std::vector<std::string> answered;
  std::vector<std::string> restarted;
  std::vector<std::string> unanswered;
  int requested_cycles = 0;
  CommandDispatcher dispatcher{clock, client, cluster, settings, callbacks()};
};

TEST_F(CommandDispatcherTest, CommandsForOneMachineAreBatchedInOrder) {
  dispatcher.queue("m-2", {kill_command(1)});
  dispatcher.queue("m-1", {kill_command(0)});
  dispatcher.queue("m-1", {kill_command(1)});
  EXPECT_TRUE(client.calls.empty());
  clock.run_for(kBatchWait);
  ASSERT_EQ(client.calls.size(), 2u);
  EXPECT_EQ(client.calls[0].endpoint, "m-1:1");
  EXPECT_EQ(client.calls[0].request.target, protocol::kCommandsPath);
  EXPECT_EQ(client.calls[0].request.body, commands({kill_command(0), kill_command(1)}));
  EXPECT_EQ(client.calls[1].endpoint, "m-2:1");
  EXPECT_EQ(client.calls[1].request.body, commands({kill_command(1)}));
  EXPECT_EQ(dispatcher.take_sent_calls(), 2u);
  EXPECT_EQ(dispatcher.take_sent_calls(), 0u);
}

TEST_F(CommandDispatcherTest, CommandsAreNotSentToTheNextIncarnation) {
  dispatcher.queue("m-1", {kill_command(0)});
  machine("m-1").incarnation = 2;
  clock.run_for(kBatchWait);
  EXPECT_TRUE(client.calls.empty());
}

TEST_F(CommandDispatcherTest, CommandsOfAnEarlierTermAreNotSent) {
  dispatcher.queue("m-1", {kill_command(0)});
  dispatcher.restart();
  clock.run_for(kBatchWait);
  EXPECT_TRUE(client.calls.empty());
  dispatcher.queue("m-1", {kill_command(0)});
  clock.run_for(kBatchWait);
  EXPECT_EQ(client.calls.size(), 1u);
}

TEST_F(CommandDispatcherTest, LaunchIsUnresolvedOnceQueued) {
  dispatcher.launch(*job, {0, 1});
  EXPECT_EQ(job->placements.at(0).stage, Placement::Stage::dispatched);
  EXPECT_TRUE(is_unresolved("m-1", 0));
  EXPECT_TRUE(is_unresolved("m-2", 1));
  EXPECT_TRUE(machine("m-1").launches.may_have_copies({{"job", 0}, 1}));
  EXPECT_FALSE(machine("m-1").launches.may_have_copies({{"job", 1}, 1}));
  fencing_token = kToken + 1;  // raised while the launches are queued
  clock.run_for(kBatchWait);
  ASSERT_EQ(client.calls.size(), 2u);
  EXPECT_EQ(client.calls[0].request.body, commands({launch_command(0)}, kToken + 1));
  EXPECT_EQ(machine("m-1").launches.unresolved_call_token({{"job", 0}, 1}), kToken + 1);
  EXPECT_TRUE(machine("m-1").launches.is_call_pending({{"job", 0}, 1}));
}

TEST_F(CommandDispatcherTest, TaskIsUnplacedWhenItsIncarnationEndsBeforeTheLaunch) {
  machine("m-1").lease_expired = true;
  machine("m-2").incarnation = 2;
  dispatcher.launch(*job, {0, 1});
  EXPECT_TRUE(job->placements.empty());
  EXPECT_EQ(requested_cycles, 2);
  clock.run_for(kBatchWait);
  EXPECT_TRUE(client.calls.empty());
}

TEST_F(CommandDispatcherTest, StaleLaunchesAreDropped) {
  struct Case {
    const char* name;
    std::function<void()> change;
  };
  const Case cases[] = {
      {"placement removed", [this] { cluster.unplace(*job, 0, clock.now()); }},
      {"placed on another machine", [this] { job->placements.at(0).machine = "m-2"; }},
      {"another attempt", [this] { job->placements.at(0).attempt = 2; }},
      {"another incarnation", [this] { job->placements.at(0).incarnation = 2; }},
      {"leader's lease expired", [this] { is_leading = false; }},
      {"job removed", [this] { cluster.remove_job("job"); }},
  };
  for (const auto& [name, change] : cases) {
    SCOPED_TRACE(name);
    client.calls.clear();
    dispatcher.launch(*job, {0});
    change();
    dispatcher.queue("m-1", {kill_command(1)});
    clock.run_for(kBatchWait);
    ASSERT_EQ(client.calls.size(), 1u);
    EXPECT_EQ(client.calls[0].request.body, commands({kill_command(1)}));
    EXPECT_FALSE(is_unresolved("m-1", 0));
    EXPECT_TRUE(machine("m-1").launches.empty());
    is_leading = true;
    cluster.remove_job("job");
    job = &testing::add_job(cluster, testing::spec("job", 2));
    cluster.place(*job, 0, machine("m-1"), 1, clock.now());
  }
}

TEST_F(CommandDispatcherTest, CallOutcomeResolvesItsLaunches) {
  struct Case {
    Outcome outcome;
    int status;
    bool resolved;
    bool answered;
  };
  const Case cases[] = {
      {Outcome::answered, 200, true, true},   {Outcome::answered, 409, true, true},
      {Outcome::answered, 400, true, false},  {Outcome::answered, 500, false, false},
      {Outcome::not_sent, 0, true, false},    {Outcome::unknown, 0, false, false},
      {Outcome::answered, 503, false, false},
  };
  for (const auto& [outcome, http_status, resolved, is_answered] : cases) {
    SCOPED_TRACE(std::to_string(static_cast<int>(outcome)) + " " + std::to_string(http_status));
    client.calls.clear();
    answered.clear();
    unanswered.clear();
    dispatcher.launch(*job, {0});
    clock.run_for(kBatchWait);
    ASSERT_EQ(client.calls.size(), 1u);
    client.calls[0].on_reply(outcome, {http_status, status(kToken), 0});
    EXPECT_EQ(is_unresolved("m-1", 0), !resolved);
    EXPECT_FALSE(machine("m-1").launches.is_call_pending({{"job", 0}, 1}));
    EXPECT_EQ(answered.size(), is_answered ? 1u : 0u);
    EXPECT_EQ(unanswered.size(), is_answered ? 0u : 1u);
    machine("m-1").launches.clear();
  }
}

TEST_F(CommandDispatcherTest, OnlyKillsAreSentAfterTheReplyToACommand) {
  follow_up = {kill_command(0), {CommandType::forget, {"job", 1}, 1, 0}, launch_command(1)};
  dispatcher.queue("m-1", {kill_command(1)});
  clock.run_for(kBatchWait);
  client.calls.at(0).on_reply(Outcome::answered, {200, status(kToken), 0});
  EXPECT_EQ(processed, (std::vector<std::uint64_t>{5}));
  clock.run_for(kBatchWait);
  ASSERT_EQ(client.calls.size(), 2u);
  EXPECT_EQ(client.calls[1].request.body, commands({kill_command(0)}));
  // A 409 also contains the status, but no commands are sent in reaction to it.
  client.calls.at(1).on_reply(Outcome::answered, {409, status(kToken), 0});
  EXPECT_EQ(processed.size(), 2u);
  clock.run_for(kBatchWait);
  EXPECT_EQ(client.calls.size(), 2u);
}

TEST_F(CommandDispatcherTest, ReplyWithAHigherTokenIsReportedAsANewerLeader) {
  dispatcher.queue("m-1", {kill_command(0)});
  clock.run_for(kBatchWait);
  client.calls.at(0).on_reply(Outcome::answered, {409, status(kToken + 1), 0});
  EXPECT_EQ(observed_tokens, (std::vector<std::uint64_t>{kToken + 1}));
  EXPECT_TRUE(processed.empty());
}

TEST_F(CommandDispatcherTest, RepliesAfterTheTermAreIgnored) {
  dispatcher.launch(*job, {0});
  clock.run_for(kBatchWait);
  dispatcher.restart();
  client.calls.at(0).on_reply(Outcome::answered, {200, status(kToken), 0});
  EXPECT_TRUE(is_unresolved("m-1", 0));
  EXPECT_TRUE(answered.empty());
  EXPECT_TRUE(processed.empty());
}

TEST_F(CommandDispatcherTest, StatusQueryReplyIsProcessedWithoutSendingCommands) {
  follow_up = {kill_command(0)};
  dispatcher.query_status(machine("m-1"));
  EXPECT_EQ(machine("m-1").status_queried_at, clock.now());
  ASSERT_EQ(client.calls.size(), 1u);
  EXPECT_EQ(client.calls[0].request.target, protocol::kInspectPath);
  client.calls[0].on_reply(Outcome::answered, {200, status(kToken), 0});
  EXPECT_EQ(answered, (std::vector<std::string>{"m-1"}));
  EXPECT_EQ(processed.size(), 1u);
  EXPECT_EQ(requested_cycles, 1);
  clock.run_for(kBatchWait);
  EXPECT_EQ(client.calls.size(), 1u);
}

TEST_F(CommandDispatcherTest, FailedOrMalformedStatusQueryIsIgnored) {
  for (const auto& [outcome, http_status, body] :
       {std::tuple{Outcome::unknown, 0, status(kToken)},
        std::tuple{Outcome::answered, 500, status(kToken)},
        std::tuple{Outcome::answered, 200, std::string("{}")}}) {
    client.calls.clear();
    dispatcher.query_status(machine("m-1"));
    client.calls.at(0).on_reply(outcome, {http_status, body, 0});
    EXPECT_TRUE(processed.empty());
    EXPECT_EQ(requested_cycles, 0);
    EXPECT_TRUE(unanswered.empty());
  }
}

TEST_F(CommandDispatcherTest, TokenIsRaisedAtMostEveryQuarterOfALease) {
  dispatcher.require_fencing();
  dispatcher.raise_fencing_token_if_due();
  EXPECT_EQ(fencing_token, kToken) << "raised too soon after the term began";
  clock.run_for(settings.lease_s / 4 + 0.01);
  dispatcher.raise_fencing_token_if_due();
  EXPECT_EQ(fencing_token, kToken + 1);
  dispatcher.require_fencing();
  dispatcher.raise_fencing_token_if_due();
  EXPECT_EQ(fencing_token, kToken + 1);
  clock.run_for(settings.lease_s / 4 + 0.01);
  dispatcher.raise_fencing_token_if_due();
  EXPECT_EQ(fencing_token, kToken + 2);
  clock.run_for(settings.lease_s);
  dispatcher.raise_fencing_token_if_due();
  EXPECT_EQ(fencing_token, kToken + 2) << "raised without a request";
}

TEST_F(CommandDispatcherTest, LaunchUnderAnEarlierTokenDoesNotRaiseTheToken) {
  const LaunchKey launch{{"job", 0}, 1};
  clock.run_for(settings.lease_s);
  machine("m-1").launches.add_inherited(launch, kToken - 1);
  dispatcher.require_fencing_of(machine("m-1"), launch);
  dispatcher.raise_fencing_token_if_due();
  EXPECT_EQ(fencing_token, kToken);
  machine("m-1").launches.add_call(launch, kToken);
  dispatcher.require_fencing_of(machine("m-1"), launch);
  dispatcher.raise_fencing_token_if_due();
  EXPECT_EQ(fencing_token, kToken + 1);
}

}  // namespace
}  // namespace larkroad::coordination
