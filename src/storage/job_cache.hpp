/// A cache of the records of unfinished jobs, for users' queries.
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

/// Updates the cache on demand by reading the changes since the last update.
///
/// A query must not be answered from data older than the query itself, because another controller
/// may already have given the user a newer answer. Concurrent queries share one request to the
/// store, regardless of the number of jobs. Used by JobLookup.
class JobCache {
 public:
  JobCache(transport::Clock& clock, KeyValueClient& store, const Settings& settings);

  /// Updates the cache. Calls `done` with `ok` once it includes everything recorded at the time of
  /// this call, and with another status if the records cannot be read.
  void refresh(std::function<void(Status)> done);

  struct CachedJob {
    bool cancelled = false;
  };
  /// Returns nullptr when there is no unfinished job with this id.
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
  // The store's revision up to which changes have been read; empty: everything must be read again.
  std::optional<std::uint64_t> revision_;
  bool updating_ = false;       // an update is scheduled or in progress
  Callbacks next_callbacks_;    // for the next update
  Callbacks update_callbacks_;  // for the update in progress
  transport::CallbackScope scope_;
};

}  // namespace larkroad::storage
