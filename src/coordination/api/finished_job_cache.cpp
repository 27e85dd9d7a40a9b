#include "coordination/api/finished_job_cache.hpp"

#include <cstddef>

namespace larkroad::coordination {
namespace {

constexpr size_t kMaxCachedRecords = 20'000;

}  // namespace

const storage::FinishedRecord* FinishedJobCache::find(const std::string& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

void FinishedJobCache::insert(const std::string& id, const storage::FinishedRecord& record) {
  if (!records_.emplace(id, record).second) return;
  insertion_order_.push_back(id);
  if (insertion_order_.size() > kMaxCachedRecords) {
    records_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
}

}  // namespace larkroad::coordination
