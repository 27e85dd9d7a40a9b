/// Amounts of CPUs, GPUs and memory, and the arithmetic on them.
///
/// Shared by the cluster's bookkeeping, bin packing, quotas and the autoscaler. Plain values.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "protocol/cloud_messages.hpp"
#include "protocol/job_messages.hpp"

namespace larkroad::coordination {

using protocol::JobSpec;
using protocol::MachineType;

/// Amounts of the resources that are scheduled. Sums and differences go resource by resource and
/// may be negative, as what a quota leaves is once the quota has been reduced.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  /// Whether `need` fits into this. Amounts are decimals, so sums are compared with some leeway.
  bool fits(const Resources& need) const;
  /// How many times `need` fits into this; at most `protocol::kMaxTasksPerJob`.
  std::uint32_t times(const Resources& need) const;
};

/// The smaller amount of each resource by itself.
Resources least_of(const Resources& a, const Resources& b);

/// The number of job priorities.
inline constexpr size_t kPriorities = static_cast<size_t>(protocol::Priority::low) + 1;
/// One amount for each priority, the most important priority first.
using ResourcesByPriority = std::array<Resources, kPriorities>;

/// What one task of the job asks for.
Resources needs_of(const JobSpec& spec);
/// What a machine of this type has in all.
Resources capacity_of(const MachineType& type);

}  // namespace larkroad::coordination
