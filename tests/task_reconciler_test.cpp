#include "coordination/workers/task_reconciler.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes/manual_clock.hpp"
#include "support.hpp"

namespace larkroad::coordination {
namespace {

using protocol::CommandType;
using protocol::ExitCause;
using protocol::TaskStatus;

constexpr std::uint64_t kToken = 7;

/// Never answers calls.
class SilentClient : public transport::Client {
 public:
  void call(const std::string&, transport::Request, Seconds, transport::OnReply) override {}
};

/// A machine with one task of a job, whose placement the worker has acknowledged.
class TaskReconcilerTest : public ::testing::Test {
 protected:
  TaskReconcilerTest() {
    cluster.set_types(testing::types());
    machine = &testing::add_machine(cluster, "m-0", "small");
    machine->sequence = 3;
    job = &testing::add_job(cluster, testing::spec("job", 2));
    placement = &cluster.place(*job, 0, *machine, 1, clock.now());
    placement->stage = Placement::Stage::acknowledged;
    dispatcher.restart();
  }

  CommandDispatcher::Callbacks dispatcher_callbacks() {
    return {
        .is_leader = [] { return true; },
        .fencing_token = [] { return kToken; },
        .raise_fencing_token = [this] { ++raised_tokens; },
        .observe_fencing_token = [](std::uint64_t) {},
        .process_heartbeat = [](const protocol::Heartbeat&) { return Commands{}; },
        .machine_answered = [](Machine&) {},
        .worker_restarted = [](Machine&) {},
        .machine_unanswered = [](Machine&) {},
        .request_scheduling_cycle = [] {},
    };
  }
  TaskReconciler::Callbacks callbacks() {
    return {
        .persist = [this](Job&) { ++persisted; },
        .task_gone =
            [this](Job& of, std::uint32_t task, const std::string&) {
              gone_tasks.push_back(task);
              cluster.unplace(of, task, clock.now());
            },
        .abort_gang_attempt = [](Job&, const std::string&) {},
        .request_scheduling_cycle = [] {},
    };
  }

  Commands reconcile(const std::vector<TaskStatus>& tasks,
                     HeartbeatSource source = HeartbeatSource::worker) {
    protocol::Heartbeat heartbeat;
    heartbeat.tasks = tasks;
    return reconciler.reconcile(*machine, heartbeat, source);
  }
  static TaskStatus status(TaskState state, ExitCause cause = ExitCause::none) {
    return {{"job", 0}, 1, state, cause, false};
  }
  static std::vector<CommandType> types_of(const Commands& commands) {
    std::vector<CommandType> types;
    for (const auto& command : commands) types.push_back(command.type);
    return types;
  }
  bool is_fencing_required() {
    const int before = raised_tokens;
    clock.run_for(settings.lease_s);
    dispatcher.raise_fencing_token_if_due();
    return raised_tokens > before;
  }

  const LaunchKey key{{"job", 0}, 1};
  const Settings settings = testing::settings();
  testing::ManualClock clock{100};
  SilentClient client;
  storage::KeyValueClient store{clock, client, settings};
  Election election{clock, store, settings, {}};
  ClusterState cluster{settings};
  Machine* machine = nullptr;
  Job* job = nullptr;
  Placement* placement = nullptr;
  int raised_tokens = 0;
  int persisted = 0;
  std::vector<std::uint32_t> gone_tasks;
  CommandDispatcher dispatcher{clock, client, cluster, settings, dispatcher_callbacks()};
  FailureTracker failures{clock, cluster, settings};
  TaskReconciler reconciler{clock, cluster, election, dispatcher, failures, callbacks()};
};

TEST_F(TaskReconcilerTest, ReportedTaskUpdatesItsPlacement) {
  placement->stage = Placement::Stage::dispatched;
  placement->recovered = true;
  EXPECT_TRUE(reconcile({status(TaskState::running)}).empty());
  EXPECT_EQ(placement->stage, Placement::Stage::acknowledged);
  EXPECT_EQ(placement->state, TaskState::running);
  EXPECT_EQ(placement->running_since, clock.now());
  EXPECT_FALSE(placement->recovered);
}

// Guards against a stopped task that a delayed heartbeat makes a new leader launch again.
TEST_F(TaskReconcilerTest, TaskReportedByAnUnconfirmedMachineStaysUncertain) {
  placement->recovered = true;
  machine->identity_confirmed = false;
  reconcile({status(TaskState::running)});
  EXPECT_TRUE(placement->recovered);
  machine->identity_confirmed = true;
  reconcile({status(TaskState::running)});
  EXPECT_FALSE(placement->recovered);
}

TEST_F(TaskReconcilerTest, TaskWithoutPlacementIsKilled) {
  placement->attempt = 2;
  placement->stage = Placement::Stage::persisting;
  const Commands commands = reconcile({status(TaskState::running)});
  ASSERT_EQ(types_of(commands), (std::vector{CommandType::kill}));
  EXPECT_EQ(commands[0].attempt, 1u);
  EXPECT_TRUE(gone_tasks.empty());
}

TEST_F(TaskReconcilerTest, StoppingTaskIsKilledAgainUnlessSavingWithinItsGracePeriod) {
  placement->stopping = true;
  placement->grace_s = 5;
  EXPECT_EQ(reconcile({status(TaskState::running)}).size(), 1u);
  EXPECT_TRUE(reconcile({status(TaskState::saving)}).empty());
  placement->grace_s = 0;
  EXPECT_EQ(reconcile({status(TaskState::saving)}).size(), 1u);
}

TEST_F(TaskReconcilerTest, AbsentTaskIsLaunchedAgainOnlyInTheResponseToAHeartbeat) {
  EXPECT_TRUE(reconcile({}, HeartbeatSource::call_answer).empty());
  EXPECT_EQ(types_of(reconcile({})), (std::vector{CommandType::launch}));
  EXPECT_EQ(placement->stage, Placement::Stage::dispatched);
  EXPECT_TRUE(machine->launches.worker_sent_heartbeat(3).empty());
  EXPECT_TRUE(machine->launches.is_unresolved(key));
  EXPECT_TRUE(reconcile({}).empty()) << "launched again while the launch is unresolved";
  EXPECT_EQ(machine->launches.worker_sent_heartbeat(4).size(), 1u);
  EXPECT_FALSE(machine->launches.is_unresolved(key));
}

TEST_F(TaskReconcilerTest, AbsentStoppingTaskIsGone) {
  placement->stopping = true;
  reconcile({}, HeartbeatSource::call_answer);
  EXPECT_EQ(gone_tasks, (std::vector<std::uint32_t>{0}));
}

TEST_F(TaskReconcilerTest, AbsentStoppingTaskIsNotGoneWhileALaunchIsUnresolved) {
  placement->stopping = true;
  machine->launches.add_call(key, kToken);
  reconcile({});
  EXPECT_FALSE(is_fencing_required()) << "required while the launch call is still pending";
  machine->launches.call_unanswered(key);
  reconcile({});
  EXPECT_TRUE(gone_tasks.empty());
  EXPECT_TRUE(is_fencing_required());
}

TEST_F(TaskReconcilerTest, AbsentTaskOfAnEarlierLeaderIsNotLaunchedAgain) {
  placement->recovered = true;
  machine->launches.add_inherited(key, kToken - 1);
  EXPECT_TRUE(reconcile({}).empty());
  EXPECT_TRUE(gone_tasks.empty());
  machine->launches.worker_saw_token(kToken);
  EXPECT_TRUE(reconcile({}).empty());
  EXPECT_EQ(gone_tasks, (std::vector<std::uint32_t>{0}));
}

TEST_F(TaskReconcilerTest, CompletedTaskIsForgottenOnceItsResultIsDurable) {
  EXPECT_TRUE(reconcile({status(TaskState::exited, ExitCause::done)}).empty());
  EXPECT_TRUE(job->done[0]);
  EXPECT_EQ(persisted, 1);
  job->unpersisted_done.clear();
  EXPECT_EQ(types_of(reconcile({status(TaskState::exited, ExitCause::done)})),
            (std::vector{CommandType::forget}));
}

TEST_F(TaskReconcilerTest, ExitedTaskIsRetainedUntilTheWorkerHasSeenAHigherToken) {
  machine->launches.add_call(key, kToken);
  machine->launches.call_answered(key);
  machine->launches.worker_saw_token(kToken);
  EXPECT_TRUE(reconcile({status(TaskState::exited, ExitCause::stopped)}).empty());
  EXPECT_EQ(gone_tasks, (std::vector<std::uint32_t>{0}));
  EXPECT_EQ(machine->retained_exits, 1);
  EXPECT_FALSE(is_fencing_required());
  machine->launches.worker_saw_token(kToken + 1);
  EXPECT_EQ(types_of(reconcile({status(TaskState::exited, ExitCause::stopped)})),
            (std::vector{CommandType::forget}));
  EXPECT_TRUE(machine->launches.empty());
}

TEST_F(TaskReconcilerTest, ManyRetainedExitsRequireAHigherToken) {
  std::vector<TaskStatus> exits;
  for (std::uint32_t task = 0; task < 7; ++task) {
    exits.push_back({{"old", task}, 1, TaskState::exited, ExitCause::stopped, false});
    machine->launches.add_call({exits.back().id, 1}, kToken);
    machine->launches.call_answered({exits.back().id, 1});
  }
  machine->launches.worker_saw_token(kToken);
  placement->stage = Placement::Stage::persisting;
  reconcile({exits.begin(), exits.end() - 1});
  EXPECT_FALSE(is_fencing_required());
  reconcile(exits);
  EXPECT_TRUE(is_fencing_required());
}

TEST_F(TaskReconcilerTest, NewIncarnationEndsTasksOfEarlierOnes) {
  cluster.place(*job, 1, *machine, 1, clock.now());  // its record is not durable yet
  machine->launches.add_call(key, kToken);
  reconciler.end_incarnations_before(*machine, 1);
  EXPECT_EQ(job->placements.size(), 2u);
  reconciler.end_incarnations_before(*machine, 2);
  EXPECT_EQ(gone_tasks, (std::vector<std::uint32_t>{0}));
  EXPECT_TRUE(job->placements.empty());
  EXPECT_TRUE(machine->launches.empty());
}

}  // namespace
}  // namespace larkroad::coordination
