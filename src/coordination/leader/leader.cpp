#include "coordination/leader/leader.hpp"

#include <algorithm>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

// Interval between scaling rounds, as a fraction of the heartbeat interval.
constexpr double kScalingRatio = 1.0 / 3;

}  // namespace

Leader::Leader(transport::Clock& clock, transport::Client& client, storage::KeyValueClient& store,
               Election& election, MachineCatalog& catalog, const Settings& settings)
    : clock_(clock),
      election_(election),
      leadership_(election),
      catalog_(catalog),
      settings_(settings),
      term_scope_(clock),
      cluster_(settings),
      relay_assignment_(settings),
      transaction_limit_(settings.strictest_store_limits().max_transaction_changes),
      garbage_collector_(clock, store, leadership_, settings, transaction_limit_),
      image_recorder_(clock, store, leadership_, settings, transaction_limit_, cluster_),
      command_dispatcher_(clock, client, cluster_, settings, command_dispatcher_callbacks()),
      machine_health_(clock, cluster_, settings, machine_health_callbacks()),
      failure_tracker_(clock, cluster_, settings),
      task_evictor_(clock, cluster_, command_dispatcher_, settings,
                    [this] { request_scheduling_cycle(); }),
      task_reconciler_(clock, cluster_, election, command_dispatcher_, failure_tracker_,
                       task_reconciler_callbacks()),
      heartbeat_processor_(clock, cluster_, election, settings, machine_health_, task_evictor_,
                           task_reconciler_, removed_machines_,
                           [this](Machine& machine) { restore_images(machine); }),
      heartbeat_endpoint_(clock, cluster_, election, relay_assignment_, heartbeat_processor_),
      placement_writer_(clock, store, leadership_, settings, transaction_limit_, cluster_,
                        garbage_collector_, placement_writer_callbacks()),
      job_watch_(clock, store, leadership_, settings, cluster_, job_watch_callbacks()),
      state_recovery_(clock, store, leadership_, settings, cluster_, garbage_collector_,
                      state_recovery_callbacks()),
      scheduling_loop_(clock, leadership_, settings, cluster_, gang_reservations_, lag_, activity_,
                       scheduling_loop_callbacks()),
      cloud_reconciler_(clock, client, leadership_, settings, catalog, cluster_, removed_machines_,
                        activity_, cloud_reconciler_callbacks()) {}

void Leader::begin_term(bool distributes_workers) {
  term_scope_.restart();
  command_dispatcher_.restart();
  relay_assignment_.reset(distributes_workers);
  ready_ = false;
  loading_ = true;
  term_started_at_ = clock_.now();
  heartbeat_processor_.begin_term();
  cluster_.clear();
  cluster_.set_wall_clock_offset(clock_.unix_time() - clock_.now());
  gang_reservations_.clear();
  job_watch_.begin_term();
  placement_writer_.begin_term();
  garbage_collector_.begin_term();
  image_recorder_.begin_term();
  scheduling_loop_.begin_term();
  cloud_reconciler_.begin_term();
  recovered_images_.clear();
  lag_.reset();
  next_periodic_run_ = kNoLimit;
  cluster_.set_types(catalog_.types());
  state_recovery_.start(term_started_at_);
}

void Leader::end_term() {
  term_scope_.restart();
  command_dispatcher_.restart();
  state_recovery_.end_term();
  job_watch_.end_term();
  placement_writer_.end_term();
  garbage_collector_.end_term();
  image_recorder_.end_term();
  scheduling_loop_.end_term();
  cloud_reconciler_.end_term();
  ready_ = false;
  loading_ = false;
  cluster_.clear();
  gang_reservations_.clear();
}

void Leader::handle_recovered_state(RecoveredState state) {
  recovered_images_ = std::move(state.images);
  ready_ = true;
  loading_ = false;
  job_watch_.set_recovered();
  placement_writer_.start();
  scheduling_loop_.start();
  leadership_.confirm_job_view(state.jobs_requested_at);
  cluster_.set_types(catalog_.types());
  ready_at_ = clock_.now();
  spdlog::info("state recovered: jobs={} placed_tasks={} duration_ms={:.0f}",
               cluster_.jobs().size(), state.placed_tasks, (ready_at_ - term_started_at_) * 1000);
  resume_finished_jobs();
  job_watch_.start();
  run_periodic_tasks();
  run_scaling_loop();
  cloud_reconciler_.start(ready_at_);
  garbage_collector_.collect();
  request_scheduling_cycle();
}

// Completes the cleanup of cancelled and finished jobs that a previous leader did not complete.
void Leader::resume_finished_jobs() {
  std::vector<std::string> ids;  // copied, as the loop below may remove jobs
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

void Leader::update_machine_types() {
  if (ready_) cluster_.set_types(catalog_.types());
}

void Leader::run_periodic_tasks() {
  const Seconds now = clock_.now();
  lag_.record_timer(next_periodic_run_, now);
  next_periodic_run_ = now + settings_.heartbeat_interval_s * kPeriodRatio;
  term_scope_.after(settings_.heartbeat_interval_s * kPeriodRatio,
                    [this] { run_periodic_tasks(); });
  if (!election_.is_leader()) return;
  machine_health_.expire_leases();
  machine_health_.check_unreachable();
  relay_assignment_.rebalance(cloud_reconciler_.has_complete_list()
                                  ? std::optional(cluster_.machines().size())
                                  : std::nullopt,
                              now);
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->write_in_flight) continue;
    persist(*job);
    if (!job->write_in_flight) placement_writer_.shrink_shards(*job);
  }
  command_dispatcher_.raise_fencing_token_if_due();
  if (!gang_reservations_.all().empty() || scheduling_loop_.is_unfinished())
    request_scheduling_cycle();
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->waiting() > 0) {
      request_scheduling_cycle();
      break;
    }
  }
}

void Leader::run_scaling_loop() {
  term_scope_.after(settings_.heartbeat_interval_s * kScalingRatio, [this] { run_scaling_loop(); });
  image_recorder_.record();
  const HeartbeatProcessor::Counts processed = heartbeat_processor_.take_counts();
  activity_.heartbeats += processed.heartbeats;
  activity_.reported_tasks += processed.reported_tasks;
  activity_.direct_command_calls += command_dispatcher_.take_sent_calls();
  log_fleet_usage(cluster_, activity_);
  cloud_reconciler_.run_scaling_round();
}

// Called on the first heartbeat of a machine: restores its cached images from the records of a
// previous leader.
void Leader::restore_images(Machine& machine) {
  const auto it = recovered_images_.find(machine.name);
  if (it == recovered_images_.end()) return;
  const Seconds now = clock_.now();
  for (const auto& [image, gb] : it->second) machine.images[image] = {gb, now};
  recovered_images_.erase(it);
}

void Leader::handle_machine_removed(const std::string& machine) {
  garbage_collector_.add(storage::kMachinePrefix + machine);
  garbage_collector_.collect();
}

transport::Response Leader::handle_heartbeat(const protocol::Heartbeat& heartbeat,
                                             const std::string& relay, RelayRoute route) {
  return heartbeat_endpoint_.handle(heartbeat, relay, route, records_state());
}

std::vector<protocol::RelayedAnswer> Leader::handle_relayed_heartbeats(
    const protocol::RelayBatch& batch, RelayRoute route) {
  return heartbeat_endpoint_.handle_batch(batch, route, records_state());
}

std::optional<Seconds> Leader::newest_heartbeat_at() const {
  if (!ready_) return std::nullopt;
  const auto newest = machine_health_.newest_heartbeat_at();
  if (!newest) return std::nullopt;
  return std::max(ready_at_, *newest);
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
