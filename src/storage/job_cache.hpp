/// A copy of the records of jobs that are not over, for users' queries.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::storage {

/// Keeps the copy up to date on demand, by reading what has changed since the last time.
///
/// A query must not be answered from a copy that is older than the query itself: another
/// controller may have given the user a newer answer before. Many queries share one request to the
/// store, however many jobs they are about. Used by JobLookup.
class JobCache {
 public:
  JobCache(transport::Clock& clock, KeyValueClient& store, const Settings& settings);

  /// Brings the cache up to date. Calls `done` with `ok` when it holds all that was recorded at the
  /// time of this call, and with another status when that cannot be read.
  void refresh(std::function<void(Status)> done);

  struct CachedJob {
    bool cancelled = false;
  };
  /// Returns nullptr when the job is not among those that are not over.
  const CachedJob* find(const std::string& id) const;

 private:
  using Callbacks = std::vector<std::function<void(Status)>>;

  void schedule_update();
  void update();
  void read_changes();
  void apply_changes(const WatchReply& reply);
  void read_all();
  void read_page(const std::string& after);
  void apply_page(const ListReply& reply);
  void finish_update(Status status);
  void store_job(const std::string& key, const Json& data);

  KeyValueClient& store_;
  Seconds batch_delay_;
  std::unordered_map<std::string, CachedJob> jobs_;  // by key
  // Of the store, up to which changes have been read; none: all must be read again.
  std::optional<std::uint64_t> revision_;
  bool updating_ = false;       // an update is scheduled or under way
  Callbacks next_callbacks_;    // for the next update
  Callbacks update_callbacks_;  // for the one under way
  transport::CallbackScope scope_;
};

}  // namespace larkroad::storage
