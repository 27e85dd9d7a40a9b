#include "coordination/workers/machine_health.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

// Steady clocks drift apart by 0.05%; twice that is allowed for.
constexpr double kClockDrift = 0.001;
// What a lease is given beyond its end, in heartbeat intervals.
constexpr double kLeaseMarginIntervals = 1.0 / 10;
// A machine whose last heartbeat is no older than this many intervals is up.
constexpr double kRecentIntervals = 2;
// The part of the machines that may be released because they are unreachable, beside one.
constexpr double kReleasableShare = 0.2;
// So few machines may all be gone at once; when more are, the fault is likely on this side.
constexpr int kFewMachines = 4;

}  // namespace

MachineHealth::MachineHealth(const transport::Clock& clock, ClusterState& cluster,
                             const Settings& settings, Callbacks callbacks)
    : clock_(clock), cluster_(cluster), settings_(settings), callbacks_(std::move(callbacks)) {}

void MachineHealth::expire_leases() {
  const Seconds now = clock_.now();
  std::vector<std::string> expired;
  for (const auto& [name, machine] : cluster_.machines()) {
    if (has_outlived_lease(machine, now)) expired.push_back(name);
  }
  for (const auto& name : expired) {
    Machine& machine = *cluster_.find_machine(name);
    machine.lease_expired = true;
    machine.lease_expired_at = now;
    spdlog::info("lease expired machine={}", name);
    callbacks_.end_incarnation(machine);
  }
}

// Whether the worker has ended every task by now. It begins a new incarnation when it can reach a
// controller again.
bool MachineHealth::has_outlived_lease(const Machine& machine, Seconds now) const {
  if (machine.lease_expired || machine.lease_renewed_at < 0) return false;
  return now > machine.lease_renewed_at + settings_.lease_s * (1 + kClockDrift) +
                   settings_.heartbeat_interval_s * kLeaseMarginIntervals;
}

void MachineHealth::check_unreachable() {
  const Seconds now = clock_.now();
  std::size_t unreachable = 0;
  std::vector<std::string> lost;
  for (auto& [name, machine] : cluster_.machines()) {
    if (machine.unreachable_since < 0 || machine.lease_expired || machine.being_released) continue;
    ++unreachable;
    // After a lease without an answer its worker's lease has run out too, so it runs nothing.
    if (now - machine.unreachable_since > settings_.lease_s) lost.push_back(name);
    if (now - machine.inspected_at > settings_.heartbeat_interval_s) {
      callbacks_.query_status(machine);
    }
  }
  const double releasable = kReleasableShare * static_cast<double>(cluster_.machines().size()) + 1;
  if (lost.empty() || static_cast<double>(unreachable) > releasable) return;
  callbacks_.release_machines(lost);
}

void MachineHealth::suspect_unreachable(Machine& machine) {
  if (machine.unreachable_since >= 0) return;
  machine.unreachable_since = clock_.now();
  spdlog::info("machine sends heartbeats but is unreachable machine={}", machine.name);
}

void MachineHealth::call_unanswered(Machine& machine) {
  const Seconds recent = clock_.now() - settings_.heartbeat_interval_s * kRecentIntervals;
  if (machine.last_heartbeat_at > recent) suspect_unreachable(machine);
}

void MachineHealth::call_answered(Machine& machine) {
  machine.identity_confirmed = true;
  if (machine.unreachable_since < 0) return;
  machine.unreachable_since = -1;
  callbacks_.request_plan();
}

std::optional<Seconds> MachineHealth::newest_heartbeat_at() const {
  std::optional<Seconds> newest;
  int with_lease = 0;
  for (const auto& [name, machine] : std::as_const(cluster_).machines()) {
    if (!machine.has_reported || machine.lease_expired) continue;
    ++with_lease;
    newest = std::max(newest.value_or(machine.last_heartbeat_at), machine.last_heartbeat_at);
  }
  return with_lease >= kFewMachines ? newest : std::nullopt;
}

}  // namespace larkroad::coordination
