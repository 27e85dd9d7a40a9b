/// A leader's components that handle heartbeats and commands, connected to one worker.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/workers/heartbeat_endpoint.hpp"
#include "fakes/manual_clock.hpp"
#include "fakes/protocol_worker.hpp"
#include "protocol/relay_messages.hpp"
#include "support.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {

inline constexpr const char* kMachine = "m-1";
inline constexpr const char* kWorkerAddress = "10.1.0.1:9000";
inline constexpr const char* kRelay = "node-1";
inline constexpr std::uint64_t kFirstIncarnation = 1;
inline constexpr int kRoundsToSettle = 4;
inline constexpr Seconds kBatchWait = 0.02;  // longer than the batching delay of commands

/// The event that happens next between the leader and the worker of one task.
enum class Step {
  launch,                  // the placement is durable: the leader sends a direct launch
  leave_calls_unanswered,  // the leader's calls time out; they stay in transit
  answer_calls,            // the leader's calls reach the worker, and its replies the leader
  copy_calls,              // copies of the leader's calls will arrive late
  deliver_late_calls,      // calls that went unanswered, and copies, reach the worker
  inspect,                 // the leader asks for the worker's status
  raise_token,             // the leader raises its fencing token
  heartbeat,               // the worker sends a heartbeat; the response stays in transit
  deliver_response,        // the response reaches the worker
  drop_response,           // the worker stops waiting for the response
  stop,                    // the leader stops the task
  cancel,                  // the job is cancelled
  complete,                // the task completes on the worker
  expire_lease,            // the worker begins its next incarnation
  change_leader,           // another leader takes over, with what the records say
  deliver_old_heartbeat,   // a copy of the last heartbeat that lists the task as running arrives
  restart_in_next_incarnation,  // the worker restarts without its tasks, as its next incarnation
  restart_in_same_incarnation,  // it restarts without its tasks and counts from the beginning again
  place_again,                  // the task is placed on the machine under its next attempt
  run_periodic_work,            // the leader's periodic work, half a heartbeat interval later
};

/// By which route the worker's heartbeats reach the leader.
enum class Route { direct, relayed_by_peer, relayed_by_store };
inline constexpr Route kRoutes[] = {Route::direct, Route::relayed_by_peer, Route::relayed_by_store};

/// A key-value store without keys that grants every lease and accepts every transaction.
class AcceptingStore : public transport::Client {
 public:
  void call(const std::string& /*endpoint*/, transport::Request request, Seconds /*timeout*/,
            transport::OnReply on_reply) override {
    const std::string& target = request.target;
    if (target.starts_with("/watch")) return;  // nothing changes: no reply
    if (target == "/commit") {
      on_reply(transport::Outcome::answered,
               {200, R"({"ledger":)" + std::to_string(++revision_) + "}"});
    } else if (target.starts_with("/grants")) {
      on_reply(transport::Outcome::answered, {200, R"({"hold":1})"});
    } else if (target.starts_with("/store?")) {
      on_reply(transport::Outcome::answered,
               {200, R"({"pairs":[],"more":false,"ledger":)" + std::to_string(revision_) + "}"});
    } else {
      on_reply(transport::Outcome::answered,
               {404, R"({"ledger":)" + std::to_string(revision_) + "}"});
    }
  }

 private:
  std::uint64_t revision_ = 1;
};

/// Keeps the leader's calls to the worker until the test delivers them.
class HeldCalls : public transport::Client {
 public:
  struct Call {
    transport::Request request;
    transport::OnReply on_reply;
  };
  void call(const std::string& /*endpoint*/, transport::Request request, Seconds /*timeout*/,
            transport::OnReply on_reply) override {
    calls.push_back({std::move(request), std::move(on_reply)});
  }
  std::vector<Call> calls;
};

/// A leader's components that handle heartbeats and commands, with one task and its worker. Every
/// message between them is delivered by a step.
class LeaderAndWorker {
 public:
  explicit LeaderAndWorker(Route route, const protocol::JobSpec& spec = testing::spec("job", 1))
      : spec_(spec), route_(route) {
    cluster_.set_types(testing::types());
    testing::add_machine(cluster_, kMachine, "small").address = kWorkerAddress;
    job_ = &testing::add_job(cluster_, spec_);
    election_.start();
    run_for(kBatchWait);
    processor_.begin_term();
    dispatcher_.restart();
    relay_assignment_.reset(false);
    dispatcher_.query_status(cluster_.machine(kMachine));
    answer_calls();
    cluster_.place(*job_, key_.first.task, cluster_.machine(kMachine), key_.second, clock_.now());
    job_->placements.at(key_.first.task).stage = Placement::Stage::persisted;
  }

  void run(Step step) {
    if (!run_worker_step(step)) run_leader_step(step);
    run_for(kBatchWait);
    if (clock_.now() - worker_lease_renewed_at_ > settings_.lease_s) begin_next_incarnation();
    // The records still name a task that was stopped, so a later leader takes it for placed again.
    was_gone_ = was_gone_ || is_gone();
    ran_after_gone_ = ran_after_gone_ || (was_gone_ && worker_.runs(key_));
  }

  /// Delivers everything that is in transit and lets the worker report until the leader has seen
  /// all of it.
  void settle() {
    constexpr Step kRound[] = {Step::deliver_response, Step::deliver_late_calls, Step::answer_calls,
                               Step::heartbeat};
    for (int round = 0; round < kRoundsToSettle; ++round) {
      for (const Step step : kRound) run(step);
      run_for(settings_.lease_s / kRoundsToSettle);
      dispatcher_.raise_fencing_token_if_due();
    }
  }

  /// Whether the leader waits for the next incarnation of a worker that has restarted.
  bool awaits_next_incarnation() { return cluster_.machine(kMachine).restarted; }
  /// Whether the task is on its worker now.
  bool is_running() const { return worker_.runs(key_); }

  /// Whether the leader has counted the task as gone or completed.
  bool is_gone() const { return !is_placed(); }
  /// Whether the task was on its worker after a leader had counted it as gone.
  bool ran_after_gone() const { return ran_after_gone_; }

 private:
  // Returns whether it is a step of the worker.
  bool run_worker_step(Step step) {
    switch (step) {
      case Step::heartbeat:
        send_heartbeat();
        break;
      case Step::deliver_response:
        deliver_response();
        break;
      case Step::drop_response:
        response_.clear();
        break;
      case Step::complete:
        worker_.exit(key_, "done");
        break;
      case Step::expire_lease:
        begin_next_incarnation();
        break;
      case Step::deliver_old_heartbeat:
        if (old_heartbeat_) deliver_heartbeat(*old_heartbeat_);  // nobody reads the response
        break;
      case Step::restart_in_next_incarnation:
        begin_next_incarnation();
        worker_.lose_token();
        break;
      case Step::restart_in_same_incarnation:
        worker_.restart_in_same_incarnation();
        response_.clear();
        worker_lease_renewed_at_ = clock_.now();
        break;
      default:
        return false;
    }
    return true;
  }

  void run_leader_step(Step step) {
    switch (step) {
      case Step::launch:
        if (is_placed() && placement().stage == Placement::Stage::persisted) {
          dispatcher_.launch(*job_, {key_.first.task});
        }
        break;
      case Step::leave_calls_unanswered:
        leave_calls_unanswered();
        break;
      case Step::answer_calls:
        answer_calls();
        break;
      case Step::copy_calls:
        for (const auto& call : worker_client_.calls) late_calls_.push_back(call.request);
        break;
      case Step::deliver_late_calls:
        for (const auto& request : std::exchange(late_calls_, {})) worker_.handle_call(request);
        break;
      case Step::inspect:
        dispatcher_.query_status(cluster_.machine(kMachine));
        break;
      case Step::raise_token:
        election_.raise_fencing_token();
        break;
      case Step::stop:
        if (is_placed()) evictor_.stop(*job_, placement(), 0);
        break;
      case Step::cancel:
        job_->cancelled = true;
        if (is_placed()) evictor_.stop(*job_, placement(), 0);
        break;
      case Step::change_leader:
        change_leader();
        break;
      case Step::place_again:
        place_again();
        break;
      case Step::run_periodic_work:
        run_periodic_work();
        break;
      default:
        break;
    }
  }

  bool is_placed() const { return job_->placements.contains(key_.first.task); }
  Placement& placement() { return job_->placements.at(key_.first.task); }

  void run_for(Seconds duration) {
    clock_.run_for(duration);
    election_.confirm_job_view(clock_.now());
  }

  void answer_calls() {
    for (auto& call : std::exchange(worker_client_.calls, {})) {
      call.on_reply(transport::Outcome::answered, worker_.handle_call(call.request));
    }
  }

  void leave_calls_unanswered() {
    for (auto& call : std::exchange(worker_client_.calls, {})) {
      late_calls_.push_back(call.request);
      call.on_reply(transport::Outcome::unknown, {});
    }
  }

  void deliver_response() {
    if (response_.empty()) return;
    worker_.handle_response(std::exchange(response_, {}));
    worker_lease_renewed_at_ = heartbeat_sent_at_;
  }

  void begin_next_incarnation() {
    worker_.expire_lease();
    response_.clear();  // responses to reports of an earlier incarnation are dropped
    worker_lease_renewed_at_ = clock_.now();
  }

  // Another task of the job has the machine again, so a copy of the earlier launch would match it.
  void place_again() {
    if (is_placed()) return;
    cluster_.place(*job_, key_.first.task, cluster_.machine(kMachine), key_.second + 1,
                   clock_.now());
    placement().stage = Placement::Stage::persisted;
    dispatcher_.launch(*job_, {key_.first.task});
  }

  void run_periodic_work() {
    run_for(settings_.heartbeat_interval_s / 2);
    health_.expire_leases();
    health_.check_unreachable();
    dispatcher_.raise_fencing_token_if_due();
  }

  // A worker has at most one heartbeat in flight.
  void send_heartbeat() {
    if (!response_.empty()) return;
    heartbeat_sent_at_ = clock_.now();
    const protocol::Heartbeat heartbeat = protocol::parse_heartbeat(worker_.report());
    if (worker_.runs(key_)) old_heartbeat_ = heartbeat;
    response_ = deliver_heartbeat(heartbeat);
  }

  std::string deliver_heartbeat(const protocol::Heartbeat& heartbeat) {
    if (route_ == Route::direct) {
      const auto response =
          endpoint_.handle(heartbeat, "", RelayRoute::direct, RecordsState::loaded);
      return response.status == transport::http_status::kOk ? response.body : "";
    }
    protocol::RelayedHeartbeat relayed;
    relayed.heartbeat = heartbeat;
    const auto relay_route =
        route_ == Route::relayed_by_peer ? RelayRoute::direct : RelayRoute::key_value_store;
    const auto answers = endpoint_.handle_batch({kRelay, election_.fencing_token(), {relayed}},
                                                relay_route, RecordsState::loaded);
    return answers.at(0).status == transport::http_status::kOk ? answers.at(0).body : "";
  }

  // The new leader knows the job and the placement by their records only. Calls of the earlier one
  // stay in transit; nobody reads their replies.
  void change_leader() {
    for (auto& call : std::exchange(worker_client_.calls, {})) late_calls_.push_back(call.request);
    const bool cancelled = job_->cancelled;
    const bool done = job_->done[key_.first.task];
    dispatcher_.restart();
    cluster_.clear();
    election_.raise_fencing_token();
    processor_.begin_term();
    job_ = &testing::add_job(cluster_, spec_);
    job_->cancelled = cancelled;
    storage::PlacementRecord record;
    record.attempt = key_.second;
    if (done) {
      record.done.push_back({key_.first.task, key_.first.task});
    } else {
      record.placed.push_back({key_.first.task, key_.second, kMachine, kFirstIncarnation});
    }
    cluster_.restore_placements(*job_, 0, record, 1, election_.fencing_token() - 1, clock_.now());
    Machine& machine = cluster_.machine(kMachine);
    machine.address = kWorkerAddress;
    if (cancelled && is_placed()) evictor_.stop(*job_, placement(), 0);
  }

  CommandDispatcher::Callbacks dispatcher_callbacks() {
    return {
        .is_leader = [this] { return election_.is_leader(); },
        .fencing_token = [this] { return election_.fencing_token(); },
        .raise_fencing_token = [this] { election_.raise_fencing_token(); },
        .observe_fencing_token = [](std::uint64_t) {},
        .process_heartbeat =
            [this](const protocol::Heartbeat& heartbeat) {
              return processor_.process(heartbeat, HeartbeatSource::call_answer);
            },
        .machine_answered = [this](Machine& machine) { health_.call_answered(machine); },
        .worker_restarted = [this](Machine& machine) { health_.worker_restarted(machine); },
        .machine_unanswered = [this](Machine& machine) { health_.call_unanswered(machine); },
        .request_scheduling_cycle = [] {},
    };
  }
  MachineHealth::Callbacks health_callbacks() {
    return {.end_incarnation =
                [this](Machine& machine) {
                  reconciler_.end_incarnations_before(machine, machine.incarnation + 1);
                },
            .query_status = [this](Machine& machine) { dispatcher_.query_status(machine); },
            .require_fencing = [this] { dispatcher_.require_fencing(); },
            .release_machines = [](const std::vector<std::string>&) {},
            .request_scheduling_cycle = [] {}};
  }
  TaskReconciler::Callbacks reconciler_callbacks() {
    return {
        .persist = [](Job& job) { job.unpersisted_done.clear(); },
        .task_gone = [this](Job& job, std::uint32_t task,
                            const std::string&) { cluster_.unplace(job, task, clock_.now()); },
        .abort_gang_attempt = [](Job&, const std::string&) {},
        .request_scheduling_cycle = [] {},
    };
  }

  const LaunchKey key_{{"job", 0}, 1};
  const protocol::JobSpec spec_;
  const Route route_;
  const Settings settings_ = testing::settings();
  testing::ManualClock clock_{100};
  AcceptingStore store_client_;
  HeldCalls worker_client_;
  std::vector<transport::Request> late_calls_;
  std::optional<protocol::Heartbeat> old_heartbeat_;
  bool was_gone_ = false;
  bool ran_after_gone_ = false;
  std::string response_;  // in transit to the worker; empty: none
  Seconds heartbeat_sent_at_ = 0;
  Seconds worker_lease_renewed_at_ = clock_.now();
  testing::ProtocolWorker worker_{kMachine, kWorkerAddress};
  storage::KeyValueClient store_{clock_, store_client_, settings_};
  Election election_{clock_, store_, settings_, {[] {}, [] {}}};
  ClusterState cluster_{settings_};
  Job* job_ = nullptr;
  RemovedMachines removed_machines_;
  CommandDispatcher dispatcher_{clock_, worker_client_, cluster_, settings_,
                                dispatcher_callbacks()};
  MachineHealth health_{clock_, cluster_, settings_, health_callbacks()};
  FailureTracker failures_{clock_, cluster_, settings_};
  TaskEvictor evictor_{clock_, cluster_, dispatcher_, settings_, [] {}};
  TaskReconciler reconciler_{clock_,      cluster_,  election_,
                             dispatcher_, failures_, reconciler_callbacks()};
  HeartbeatProcessor processor_{clock_,   cluster_,    election_,         settings_,      health_,
                                evictor_, reconciler_, removed_machines_, [](Machine&) {}};
  RelayAssignment relay_assignment_{settings_};
  HeartbeatEndpoint endpoint_{clock_, cluster_, election_, relay_assignment_, processor_};
};

}  // namespace larkroad::coordination
