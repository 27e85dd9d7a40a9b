/// A fake key-value store that implements the published protocol.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "settings.hpp"
#include "sim/event_queue.hpp"
#include "sim/hosts.hpp"

namespace larkroad::sim {

class World;

/// Models a single linearizable store: conditional transactions, paged range reads, leases with
/// attached keys, long-polling watches, size limits, and outages during which no lease expires.
/// It does not model replication, leader election within the store, compaction, or rate limits.
class FakeKeyValueStore {
 public:
  FakeKeyValueStore(World& world, const StoreLimits& initial_limits)
      : limits(initial_limits), world_(world) {}

  void handle(const Request& request, const std::string& from, Respond respond);
  /// During an outage every request fails and no lease expires. When it ends, every lease is
  /// renewed for its full time to live.
  void set_outage(bool outage);
  /// Leaves watches of this controller unanswered until then; its other requests succeed.
  void hold_watches(const std::string& controller, Seconds until) {
    held_watches_[controller] = until;
  }
  bool has_keys(const std::string& prefix) const;

  /// Scenarios may change the limits during a run.
  StoreLimits limits;
  /// Number of transactions rejected for exceeding a size limit.
  size_t size_refusals = 0;

 private:
  struct Entry {
    Json data;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Seconds time_to_live = 0;
    Seconds expires_at = 0;
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    bool deleted;
    Json data;
  };
  struct Watcher {
    std::string prefix;
    std::string from;
    std::uint64_t since;
    Respond respond;
    bool answered = false;
  };
  enum class WhenEmpty { keep_waiting, answer };

  Response get(const std::string& key) const;
  Response list(const std::string& query) const;
  Response grant_lease(const Request& request);
  Response renew_or_revoke_lease(const Request& request);
  Response commit(const std::string& body);
  bool exceeds_limits(const Json& transaction, size_t body_size) const;
  void apply(const Json& operations);
  void watch(const std::string& query, const std::string& from, Respond respond);
  bool answer(Watcher& watcher, WhenEmpty when_empty);
  bool is_watch_held(const std::string& controller) const;
  void notify_watchers();
  void expire_leases();
  bool delete_keys_of_lease(std::uint64_t lease);

  World& world_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  std::vector<std::shared_ptr<Watcher>> watchers_;
  std::map<std::string, Seconds> held_watches_;
  std::uint64_t revision_ = 0;
  std::uint64_t next_lease_ = 1;
  bool outage_ = false;
};

}  // namespace larkroad::sim
