/// Amounts of CPUs, GPUs and memory, and arithmetic on them.
///
/// Plain value types shared by the cluster state, bin packing, quotas and the autoscaler.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "protocol/cloud_messages.hpp"
#include "protocol/job_messages.hpp"

namespace larkroad::coordination {

using protocol::JobSpec;
using protocol::MachineType;

/// Amounts of the scheduled resources. Addition and subtraction are component-wise. Results may be
/// negative, for example the remainder of a quota that was reduced below its usage.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  /// Whether `need` fits into these amounts, with a tolerance for rounding errors.
  bool fits(const Resources& need) const;
  /// How many times `need` fits into these amounts; at most `protocol::kMaxTasksPerJob`.
  std::uint32_t max_fitting(const Resources& need) const;
};

/// The component-wise minimum.
Resources component_min(const Resources& a, const Resources& b);

/// The number of job priorities.
inline constexpr size_t kPriorityCount = static_cast<size_t>(protocol::Priority::low) + 1;
/// Amounts by priority, highest priority first.
using ResourcesByPriority = std::array<Resources, kPriorityCount>;

/// The resources that one task of the job requests.
Resources needs_of(const JobSpec& spec);
/// The total capacity of a machine of this type.
Resources capacity_of(const MachineType& type);

}  // namespace larkroad::coordination
