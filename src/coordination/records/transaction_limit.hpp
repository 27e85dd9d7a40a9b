/// How many changes the key-value store accepts in one transaction, as far as is known.
#pragma once

#include <algorithm>

#include "storage/key_value_client.hpp"

namespace larkroad::coordination {

/// Begins with the limit of the settings, and is lowered when the store refuses a transaction that
/// keeps to it. It is not raised again, not even in a later term of leadership. Shared by all that
/// write records for the leader.
class TransactionLimit {
 public:
  explicit TransactionLimit(int max_changes) : max_changes_(max_changes) {}

  int max_changes() const { return max_changes_; }

  /// Whether one more write or delete may be added.
  bool has_room(const storage::Transaction& transaction) const {
    return static_cast<int>(transaction.changes()) < max_changes_;
  }

  /// Halves the limit. False when a transaction has one change already.
  bool lower() {
    if (max_changes_ <= 1) return false;
    max_changes_ = std::max(1, max_changes_ / 2);
    return true;
  }

 private:
  int max_changes_;
};

}  // namespace larkroad::coordination
