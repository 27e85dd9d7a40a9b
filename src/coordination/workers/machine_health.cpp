#include "coordination/workers/machine_health.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

// Steady clocks drift by up to 0.05% relative to each other; twice that is allowed for.
constexpr double kMaxClockDriftRatio = 0.001;
// Safety margin after the end of a lease, in heartbeat intervals.
constexpr double kLeaseMarginIntervals = 1.0 / 10;
// A machine counts as up if its last heartbeat is less than this many intervals old.
constexpr double kRecentHeartbeatIntervals = 2;
// Unreachable machines are released only if they are at most this fraction of all machines, plus
// one.
constexpr double kMaxUnreachableFraction = 0.2;
// Fewer machines than this may all fail at once; if more are silent, the fault is likely on the
// controller's side.
constexpr int kMinMachinesForNewestHeartbeat = 4;

}  // namespace

MachineHealth::MachineHealth(const transport::Clock& clock, ClusterState& cluster,
                             const Settings& settings, Callbacks callbacks)
    : clock_(clock), cluster_(cluster), settings_(settings), callbacks_(std::move(callbacks)) {}

void MachineHealth::expire_leases() {
  const Seconds now = clock_.now();
  std::vector<std::string> expired;
  for (const auto& [name, machine] : cluster_.machines()) {
    if (has_lease_expired(machine, now)) expired.push_back(name);
  }
  for (const auto& name : expired) {
    Machine& machine = *cluster_.find_machine(name);
    machine.lease_expired = true;
    machine.lease_expired_at = now;
    spdlog::info("lease expired: machine={}", name);
    callbacks_.end_incarnation(machine);
  }
}

// Whether the worker has ended all its tasks by now. It begins a new incarnation when it can reach
// a controller again.
bool MachineHealth::has_lease_expired(const Machine& machine, Seconds now) const {
  if (machine.lease_expired || machine.lease_renewed_at < 0) return false;
  return now > machine.lease_renewed_at + settings_.lease_s * (1 + kMaxClockDriftRatio) +
                   settings_.heartbeat_interval_s * kLeaseMarginIntervals;
}

void MachineHealth::check_unreachable() {
  const Seconds now = clock_.now();
  std::size_t unreachable = 0;
  std::vector<std::string> to_release;
  for (auto& [name, machine] : cluster_.machines()) {
    if (machine.restarted && !machine.being_released) query_at_most_once_per_interval(machine);
    if (machine.unreachable_since < 0 || machine.lease_expired || machine.being_released) continue;
    ++unreachable;
    // After a lease duration without an answer, the worker's lease has expired too and it runs no
    // tasks.
    if (now - machine.unreachable_since > settings_.lease_s) to_release.push_back(name);
    query_at_most_once_per_interval(machine);
  }
  const double max_unreachable =
      kMaxUnreachableFraction * static_cast<double>(cluster_.machines().size()) + 1;
  if (to_release.empty() || static_cast<double>(unreachable) > max_unreachable) return;
  callbacks_.release_machines(to_release);
}

void MachineHealth::query_at_most_once_per_interval(Machine& machine) {
  if (machine.address.empty()) return;
  if (clock_.now() - machine.status_queried_at > settings_.heartbeat_interval_s) {
    callbacks_.query_status(machine);
  }
}

void MachineHealth::old_heartbeat_received(Machine& machine) {
  query_at_most_once_per_interval(machine);
}

void MachineHealth::worker_restarted(Machine& machine) {
  if (machine.restarted) return;
  machine.restarted = true;
  spdlog::info("worker restarted without its tasks: machine={} incarnation={}", machine.name,
               machine.incarnation);
  // The lease of its new process counts from its beginning, which may be as late as now.
  machine.lease_renewed_at = std::max(machine.lease_renewed_at, clock_.now());
  callbacks_.require_fencing();
  callbacks_.query_status(machine);
}

void MachineHealth::mark_unreachable(Machine& machine) {
  if (machine.unreachable_since >= 0) return;
  machine.unreachable_since = clock_.now();
  spdlog::info("machine sends heartbeats but is unreachable: machine={}", machine.name);
}

void MachineHealth::call_unanswered(Machine& machine) {
  const Seconds recent = clock_.now() - settings_.heartbeat_interval_s * kRecentHeartbeatIntervals;
  if (machine.last_heartbeat_at > recent) mark_unreachable(machine);
}

void MachineHealth::call_answered(Machine& machine) {
  machine.identity_confirmed = true;
  if (machine.unreachable_since < 0) return;
  machine.unreachable_since = -1;
  callbacks_.request_scheduling_cycle();
}

std::optional<Seconds> MachineHealth::newest_heartbeat_at() const {
  std::optional<Seconds> newest;
  int machines_with_lease = 0;
  for (const auto& [name, machine] : std::as_const(cluster_).machines()) {
    if (!machine.has_reported || machine.lease_expired) continue;
    ++machines_with_lease;
    newest = std::max(newest.value_or(machine.last_heartbeat_at), machine.last_heartbeat_at);
  }
  return machines_with_lease >= kMinMachinesForNewestHeartbeat ? newest : std::nullopt;
}

}  // namespace larkroad::coordination
