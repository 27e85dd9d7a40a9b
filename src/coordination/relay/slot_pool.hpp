/// A fixed number of slots, of which some are taken.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace larkroad::coordination {

/// Hands out the lowest free slot, so that the same few keys are written again and again.
class SlotPool {
 public:
  explicit SlotPool(size_t count) : taken_(count, false) {}

  bool has_free() const { return std::find(taken_.begin(), taken_.end(), false) != taken_.end(); }

  /// Takes the lowest free slot; none: all are taken.
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
