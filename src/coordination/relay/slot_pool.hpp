/// Allocation of a fixed number of slots.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace larkroad::coordination {

/// Always allocates the lowest free slot, so that the keys in the store are reused as far as
/// possible.
class SlotPool {
 public:
  explicit SlotPool(size_t count) : taken_(count, false) {}

  bool has_free() const { return std::find(taken_.begin(), taken_.end(), false) != taken_.end(); }

  /// Takes the lowest free slot; nullopt if all are taken.
  std::optional<size_t> acquire() {
    const auto free = std::find(taken_.begin(), taken_.end(), false);
    if (free == taken_.end()) return std::nullopt;
    *free = true;
    return static_cast<size_t>(free - taken_.begin());
  }

  void release(size_t slot) { taken_[slot] = false; }

 private:
  std::vector<bool> taken_;
};

}  // namespace larkroad::coordination
