#include "coordination/leader/leader.hpp"

#include <algorithm>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

// The fleet is looked at this often, as a part of the heartbeat interval.
constexpr double kScalingRatio = 1.0 / 3;
// Steady clocks drift apart by 0.05%; twice that is allowed for.
constexpr double kDrift = 0.001;

}  // namespace

Leader::Leader(transport::Clock& clock, transport::Client& client, storage::KeyValueClient& store,
               Election& election, MachineCatalog& catalog, const Settings& settings)
    : clock_(clock),
      client_(client),
      store_(store),
      election_(election),
      leadership_(election),
      catalog_(catalog),
      settings_(settings),
      scope_(clock),
      cluster_(settings),
      relay_assignment_(settings),
      transaction_limit_(settings.lasting_store_limits().max_transaction_changes),
      garbage_(clock, store, leadership_, settings, transaction_limit_),
      image_recorder_(clock, store, leadership_, settings, transaction_limit_, cluster_),
      placement_writer_(clock, store, leadership_, settings, transaction_limit_, cluster_, garbage_,
                        placement_writer_callbacks()),
      job_watch_(clock, store, leadership_, settings, cluster_, job_watch_callbacks()),
      state_recovery_(clock, store, leadership_, settings, cluster_, garbage_,
                      state_recovery_callbacks()),
      scheduling_loop_(clock, leadership_, settings, cluster_, gang_reservations_, lag_, activity_,
                       scheduling_loop_callbacks()),
      cloud_(clock, client, leadership_, settings, catalog, cluster_, removed_machines_, activity_,
             {[this](Machine& machine) { inspect(machine); },
              [this](Machine& machine, const std::string& reason) { all_gone(machine, reason); },
              [this](const std::string& machine) { machine_removed(machine); }}) {}

PlacementWriter::Callbacks Leader::placement_writer_callbacks() {
  return {
      [this](const std::string& job) { job_watch_.refresh(job); },
      [this](const std::string& job, std::uint64_t revision) {
        job_watch_.job_finished(job, revision);
      },
      [this](Job& job, const std::vector<std::uint32_t>& tasks) { launch(job, tasks); },
      [this] { request_plan(); },
  };
}

JobWatch::Callbacks Leader::job_watch_callbacks() {
  return {
      [this](Job& job) { cancel_job(job); },
      [this](Job& job) { persist(job); },
      [this] { request_plan(); },
  };
}

SchedulingLoop::Callbacks Leader::scheduling_loop_callbacks() {
  return {
      [this](Job& job) { persist(job); },
      [this](Job& job, Placement& placement, SchedulingLoop::StopMode mode) {
        stop(job, placement, mode == SchedulingLoop::StopMode::graceful ? grace(job) : 0);
      },
  };
}

StateRecovery::Callbacks Leader::state_recovery_callbacks() {
  return {
      [this](const storage::Entry& entry) { job_watch_.apply(entry); },
      [this](std::uint64_t revision) { job_watch_.watch_from(revision); },
      [this](RecoveredState state) { recovered(std::move(state)); },
  };
}

void Leader::begin(bool spread) {
  scope_.restart();
  relay_assignment_.clear(spread);
  ready_ = false;
  loading_ = true;
  begun_at_ = clock_.now();
  first_fencing_token_ = election_.fencing_token();
  cluster_.clear();
  cluster_.set_day_offset(clock_.unix_time() - clock_.now());
  gang_reservations_.clear();
  job_watch_.begin_term();
  placement_writer_.begin_term();
  garbage_.begin_term();
  image_recorder_.begin_term();
  scheduling_loop_.begin_term();
  cloud_.begin_term();
  loaded_images_.clear();
  queued_commands_.clear();
  sending_armed_ = false;
  lag_.reset();
  next_periodic_run_ = kNoLimit;
  fence_wanted_ = false;
  fenced_at_ = begun_at_;
  cluster_.set_types(catalog_.types());
  state_recovery_.start(begun_at_);
}

void Leader::end() {
  scope_.restart();
  state_recovery_.end_term();
  job_watch_.end_term();
  placement_writer_.end_term();
  garbage_.end_term();
  image_recorder_.end_term();
  scheduling_loop_.end_term();
  cloud_.end_term();
  ready_ = false;
  loading_ = false;
  cluster_.clear();
  gang_reservations_.clear();
}

void Leader::recovered(RecoveredState state) {
  loaded_images_ = std::move(state.images);
  ready_ = true;
  loading_ = false;
  job_watch_.set_recovered();
  placement_writer_.start();
  scheduling_loop_.start();
  leadership_.view_proved(state.jobs_requested_at);
  cluster_.set_types(catalog_.types());
  ready_at_ = clock_.now();
  spdlog::info("state recovered: jobs={} placed_tasks={} duration_ms={:.0f}",
               cluster_.jobs().size(), state.placed_tasks, (ready_at_ - begun_at_) * 1000);
  resume_finished_jobs();
  job_watch_.start();
  run_periodic_tasks();
  run_scaling_loop();
  cloud_.start(ready_at_);
  garbage_.collect();
  request_plan();
}

// Takes up again what an earlier leader did not get done of jobs that are cancelled or finished.
void Leader::resume_finished_jobs() {
  std::vector<std::string> ids;  // a copy: what follows may remove jobs
  for (const auto& [id, job] : cluster_.jobs()) ids.push_back(id);
  for (const auto& id : ids) {
    Job* job = cluster_.job(id);
    if (job == nullptr) continue;
    if (job->cancelled) {
      cancel_job(*job);
    } else if (job->is_finished()) {
      persist(*job);
    }
  }
}

void Leader::types_changed() {
  if (ready_) cluster_.set_types(catalog_.types());
}

void Leader::run_periodic_tasks() {
  const Seconds now = clock_.now();
  lag_.fired(next_periodic_run_, now);
  next_periodic_run_ = now + settings_.heartbeat_interval_s * kRetryRatio;
  scope_.after(settings_.heartbeat_interval_s * kRetryRatio, [this] { run_periodic_tasks(); });
  if (!election_.leads()) return;
  std::vector<std::string> silent;
  for (auto& [name, machine] : cluster_.machines()) {
    if (machine.lease_expired || machine.lease_renewed_at < 0) continue;
    // Its worker ends every task by then, and begins a new session when it can be heard again.
    if (now > machine.lease_renewed_at + settings_.lease_s * (1 + kDrift) +
                  settings_.heartbeat_interval_s / 10) {
      silent.push_back(name);
    }
  }
  for (const auto& name : silent) {
    Machine& machine = *cluster_.find_machine(name);
    machine.lease_expired = true;
    machine.lease_expired_at = now;
    spdlog::info("machine {} is silent: its lease is over", name);
    end_sessions(machine, machine.incarnation + 1);
  }
  cloud_.release_unreachable_machines();
  relay_assignment_.count(
      cloud_.has_listed() ? std::optional(cluster_.machines().size()) : std::nullopt, now);
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->write_in_flight) continue;
    persist(*job);
    if (!job->write_in_flight) placement_writer_.shrink_shards(*job);
  }
  if (fence_wanted_ && now - fenced_at_ > settings_.lease_s / 4) {
    fence_wanted_ = false;
    fenced_at_ = now;
    election_.raise_fencing_token();
  }
  if (!gang_reservations_.all().empty() || scheduling_loop_.is_unfinished()) request_plan();
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->waiting() > 0) {
      request_plan();
      break;
    }
  }
}

void Leader::run_scaling_loop() {
  scope_.after(settings_.heartbeat_interval_s * kScalingRatio, [this] { run_scaling_loop(); });
  image_recorder_.record();
  log_fleet_usage(cluster_, activity_);
  cloud_.run_scaling_round();
}

void Leader::machine_removed(const std::string& machine) {
  garbage_.add(storage::kMachinePrefix + machine);
  garbage_.collect();
}

std::unordered_map<std::string, UserApi::Progress> Leader::progress() const {
  std::unordered_map<std::string, UserApi::Progress> out;
  for (const auto& [id, job] : cluster_.jobs()) {
    const std::uint32_t running = job->running();
    if (job->done_count > 0 || running > 0) out[id] = {job->done_count, running};
  }
  return out;
}

}  // namespace larkroad::coordination
