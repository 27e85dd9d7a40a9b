/// Deletes obsolete records from the key-value store.
#pragma once

#include <string>
#include <vector>

#include "coordination/election/leadership.hpp"
#include "coordination/records/transaction_limit.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::coordination {

/// Deletes the records of finished jobs and removed machines in the background, one transaction at
/// a time, with a pause of one heartbeat interval between transactions. The next leader finds the
/// records that are left at the end of a term when it recovers the state.
class GarbageCollector {
 public:
  GarbageCollector(transport::Clock& clock, storage::KeyValueClient& store,
                   const Leadership& leadership, const Settings& settings,
                   const TransactionLimit& limit);

  /// Discards the state of the previous term.
  void begin_term();
  /// Drops the callbacks of outstanding requests and timers.
  void end_term();

  /// Queues the record under this key for deletion by `collect`.
  void add(std::string key) { keys_.push_back(std::move(key)); }
  void add(const std::vector<std::string>& keys);
  /// Starts deleting, unless a transaction is in flight.
  void collect();

 private:
  storage::Transaction next_transaction();

  storage::KeyValueClient& store_;
  const Leadership& leadership_;
  const Settings& settings_;
  const TransactionLimit& limit_;
  transport::CallbackScope scope_;  // the current term of leadership
  std::vector<std::string> keys_;   // to be deleted
  bool transaction_in_flight_ = false;
};

}  // namespace larkroad::coordination
