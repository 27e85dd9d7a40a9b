/// In-memory cache of the records of finished jobs.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "storage/finished_record.hpp"

namespace larkroad::coordination {

/// Bounded FIFO cache. Records of finished jobs are immutable, so entries need no invalidation.
class FinishedJobCache {
 public:
  /// Returns nullptr if the record is not cached, whether or not the job is finished.
  const storage::FinishedRecord* find(const std::string& id) const;

  /// Adds a record, and evicts the oldest one when the cache is full.
  void insert(const std::string& id, const storage::FinishedRecord& record);

 private:
  std::unordered_map<std::string, storage::FinishedRecord> records_;
  std::deque<std::string> insertion_order_;
};

}  // namespace larkroad::coordination
