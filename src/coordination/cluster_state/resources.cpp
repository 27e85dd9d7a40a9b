#include "coordination/cluster_state/resources.hpp"

#include <algorithm>
#include <cmath>

namespace larkroad::coordination {
namespace {

// Tolerance for rounding errors in sums of decimal amounts.
constexpr double kTolerance = 1e-6;

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cpus += other.cpus;
  gpus += other.gpus;
  memory_gb += other.memory_gb;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpus -= other.cpus;
  gpus -= other.gpus;
  memory_gb -= other.memory_gb;
  return *this;
}

bool Resources::fits(const Resources& need) const {
  return need.cpus <= cpus + kTolerance && need.gpus <= gpus + kTolerance &&
         need.memory_gb <= memory_gb + kTolerance;
}

std::uint32_t Resources::max_fitting(const Resources& need) const {
  double count = protocol::kMaxTasksPerJob;
  const auto limit_by = [&count](double available, double each) {
    if (each > 0) count = std::min(count, std::floor((available + kTolerance) / each));
  };
  limit_by(cpus, need.cpus);
  limit_by(gpus, need.gpus);
  limit_by(memory_gb, need.memory_gb);
  return count <= 0 ? 0 : static_cast<std::uint32_t>(count);
}

Resources component_min(const Resources& a, const Resources& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.memory_gb, b.memory_gb)};
}

Resources needs_of(const JobSpec& spec) { return {spec.cpus, spec.gpus, spec.memory_gb}; }

Resources capacity_of(const MachineType& type) { return {type.cpus, type.gpus, type.memory_gb}; }

}  // namespace larkroad::coordination
