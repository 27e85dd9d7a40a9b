/// A fake key-value store that implements the published protocol.
#pragma once

#include <cstdint>
#include <deque>
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
/// attached keys, long-polling watches, a limited number of retained changes, limits on sizes and
/// rates, and outages during which no lease expires. It does not model replication or leader
/// election within the store.
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
  /// Carries out a transaction that was admitted earlier: it counts against no limit on rates.
  Response carry_out_late(const Request& transaction);
  /// Makes this many changes at once, each with a revision of its own, to a key that no controller
  /// reads.
  void make_unrelated_changes(size_t count);

  /// Scenarios may change the limits during a run.
  StoreLimits limits;
  /// Number of transactions rejected for exceeding a size limit.
  size_t size_refusals = 0;
  /// Number of requests rejected for exceeding a limit on rates.
  size_t rate_refusals = 0;
  /// Number of requests received, by controller.
  std::map<std::string, size_t> requests_of;

  /// The number of most recent changes that watches can still start before.
  static constexpr size_t kRetainedChanges = 10'000;

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

  /// A bucket that holds what one second permits.
  struct TokenBucket {
    bool take(double count, double per_second, Seconds now);
    double tokens = 0;
    Seconds refilled_at = -1;  // so that it is full at the start of a run
  };

  bool within_rate_limits(const std::string& path, const Request& request);
  void record_change(Change change);
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
  std::deque<Change> changes_;
  /// The revision of the newest change that is no longer retained.
  std::uint64_t compacted_revision_ = 0;
  TokenBucket request_bucket_;
  TokenBucket write_bucket_;
  std::vector<std::shared_ptr<Watcher>> watchers_;
  std::map<std::string, Seconds> held_watches_;
  std::uint64_t revision_ = 0;
  std::uint64_t next_lease_ = 1;
  bool outage_ = false;
};

}  // namespace larkroad::sim
