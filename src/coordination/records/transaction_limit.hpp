/// The known limit on the number of changes in one transaction of the key-value store.
#pragma once

#include <algorithm>

#include "storage/key_value_client.hpp"

namespace larkroad::coordination {

/// Starts at the configured limit and is lowered when the store rejects a transaction within it. It
/// is never raised again, not even in a later term of leadership. Shared by all components of the
/// leader that write records.
class TransactionLimit {
 public:
  explicit TransactionLimit(int max_changes) : max_changes_(max_changes) {}

  int max_changes() const { return max_changes_; }

  /// Whether one more write or delete may be added to the transaction.
  bool has_room(const storage::Transaction& transaction) const {
    return static_cast<int>(transaction.changes()) < max_changes_;
  }

  /// Halves the limit. Returns false when it is already one change.
  bool lower() {
    if (max_changes_ <= 1) return false;
    max_changes_ = std::max(1, max_changes_ / 2);
    return true;
  }

 private:
  int max_changes_;
};

}  // namespace larkroad::coordination
