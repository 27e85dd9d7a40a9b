// Handling of cancelled jobs and lost tasks.
#include "coordination/leader/leader.hpp"
#include "log.hpp"

namespace larkroad::coordination {

void Leader::cancel_job(Job& job) {
  if (!job.cancelled) spdlog::info("job cancelled: job={}", job.id());
  job.cancelled = true;
  gang_reservations_.release(job.id());
  std::vector<std::uint32_t> unsent;
  std::vector<std::uint32_t> sent;
  for (auto& [task, placement] : job.placements) {
    if (placement.stage == Placement::Stage::persisting) {
      // While the transaction is in flight, its reply decides. It can succeed only if it was
      // committed before the cancellation, and in that case nothing is launched.
      if (!job.write_in_flight) unsent.push_back(task);
    } else {
      sent.push_back(task);
    }
  }
  for (const auto task : unsent) cluster_.unplace(job, task, clock_.now());
  for (const auto task : sent) {
    const auto it = job.placements.find(task);
    if (it != job.placements.end()) task_evictor_.stop(job, it->second, 0);
  }
  persist(job);
}

void Leader::handle_task_lost(Job& job, std::uint32_t task, const std::string& reason) {
  spdlog::info("task lost its placement: job={} task={} reason=\"{}\"", job.id(), task, reason);
  const auto it = job.placements.find(task);
  const bool gang = job.spec.is_gang() && job.spec.tasks > 1;
  const bool gang_broken = gang && job.gang_started && it != job.placements.end();
  cluster_.unplace(job, task, clock_.now());
  if (gang_broken) abort_gang_attempt(job, reason);
  if (job.cancelled && job.is_finished()) persist(job);
  request_scheduling_cycle();
}

void Leader::abort_gang_attempt(Job& job, const std::string& reason) {
  if (job.placements.empty() || job.cancelled) return;
  if (!job.gang_aborting)
    spdlog::info("gang attempt aborted: job={} reason=\"{}\"", job.id(), reason);
  job.gang_aborting = true;
  std::vector<std::uint32_t> unsent;
  for (auto& [task, placement] : job.placements) {
    if (placement.stage == Placement::Stage::persisting && !job.write_in_flight) {
      unsent.push_back(task);
    } else if (placement.stage != Placement::Stage::persisting) {
      task_evictor_.stop(job, placement, 0);
    }
  }
  for (const auto task : unsent) cluster_.unplace(job, task, clock_.now());
}

}  // namespace larkroad::coordination
