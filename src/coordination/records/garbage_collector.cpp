#include "coordination/records/garbage_collector.hpp"

#include "storage/records.hpp"

namespace larkroad::coordination {

GarbageCollector::GarbageCollector(transport::Clock& clock, storage::KeyValueClient& store,
                                   const Leadership& leadership, const Settings& settings,
                                   const TransactionLimit& limit)
    : store_(store), leadership_(leadership), settings_(settings), limit_(limit), scope_(clock) {}

void GarbageCollector::begin_term() {
  scope_.restart();
  keys_.clear();
  transaction_in_flight_ = false;
}

void GarbageCollector::end_term() { scope_.restart(); }

void GarbageCollector::add(const std::vector<std::string>& keys) {
  keys_.insert(keys_.end(), keys.begin(), keys.end());
}

void GarbageCollector::collect() {
  if (transaction_in_flight_ || keys_.empty() || !leadership_.is_leader()) return;
  transaction_in_flight_ = true;
  const storage::Transaction transaction = next_transaction();
  const auto on_reply = [this, keys = transaction.deletes](const storage::CommitReply& reply) {
    transaction_in_flight_ = false;
    if (reply.status != storage::Status::ok) add(keys);
    if (!keys_.empty()) scope_.after(settings_.heartbeat_interval_s, [this] { collect(); });
  };
  store_.commit(transaction, scope_.wrap(on_reply), storage::RequestPriority::background);
}

storage::Transaction GarbageCollector::next_transaction() {
  storage::Transaction transaction;
  transaction.preconditions.push_back({storage::kLeaderKey, leadership_.fencing_token()});
  while (!keys_.empty() && limit_.has_room(transaction)) {
    transaction.deletes.push_back(std::move(keys_.back()));
    keys_.pop_back();
  }
  return transaction;
}

}  // namespace larkroad::coordination
