/// Deletes records that nothing needs any more.
#pragma once

#include <string>
#include <vector>

#include "coordination/election/leadership.hpp"
#include "coordination/records/transaction_limit.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::coordination {

/// Records of finished jobs and of removed machines, deleted in the background: one transaction at
/// a time, and a heartbeat interval between two. What a term of leadership does not get done is
/// found again by the next leader when it recovers the state.
class GarbageCollector {
 public:
  GarbageCollector(transport::Clock& clock, storage::KeyValueClient& store,
                   const Leadership& leadership, const Settings& settings,
                   const TransactionLimit& limit);

  /// Forgets everything of an earlier term.
  void begin_term();
  /// Answers and timers that are under way have no effect any more.
  void end_term();

  /// The record under this key may be deleted; `collect` does so.
  void add(std::string key) { keys_.push_back(std::move(key)); }
  void add(const std::vector<std::string>& keys);
  /// Begins to delete, unless a transaction is under way already.
  void collect();

 private:
  storage::Transaction next_transaction();

  storage::KeyValueClient& store_;
  const Leadership& leadership_;
  const Settings& settings_;
  const TransactionLimit& limit_;
  transport::CallbackScope scope_;  // of this term of leadership
  std::vector<std::string> keys_;
  bool collecting_ = false;  // a transaction is under way
};

}  // namespace larkroad::coordination
