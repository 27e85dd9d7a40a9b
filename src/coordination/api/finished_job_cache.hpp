/// A copy of the records of jobs that are over.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "storage/finished_record.hpp"

namespace larkroad::coordination {

/// Holds the records that were read last. They never change, so a copy is never out of date.
class FinishedJobCache {
 public:
  /// Returns nullptr when the record is not here, whether or not the job is over.
  const storage::FinishedRecord* find(const std::string& id) const;

  /// Adds a record, and drops the one that was added first when there are too many.
  void insert(const std::string& id, const storage::FinishedRecord& record);

 private:
  std::unordered_map<std::string, storage::FinishedRecord> records_;
  std::deque<std::string> insertion_order_;
};

}  // namespace larkroad::coordination
