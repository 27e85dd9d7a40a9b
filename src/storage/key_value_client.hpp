/// Client of the consensus-backed key-value store, the only persistent state of the controllers.
#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <string>

#include "settings.hpp"
#include "storage/rate_limiter.hpp"
#include "storage/request_queue.hpp"
#include "storage/request_statistics.hpp"
#include "storage/store_availability.hpp"
#include "storage/store_messages.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::storage {

/// Reads, compare-and-swap transactions, leases and watches.
///
/// Limits its requests to this controller's share of the store's rate limits, and distinguishes
/// requests that were not carried out (`unavailable`) from those that may have taken effect or may
/// still do so (`unknown`). Each controller has one client, shared by all of its components.
/// Callbacks run on the event loop and are dropped when the client is destroyed. Not thread-safe.
class KeyValueClient {
 public:
  KeyValueClient(transport::Clock& clock, transport::Client& client, const Settings& settings);

  /// Sets the fractions of the store's limits that this controller may use, between 0 and 1.
  void set_share(double requests, double writes) { limiter_.set_share(requests, writes); }

  /// Reads one key; `missing` when it does not exist.
  void get(const std::string& key, std::function<void(Status, Entry)> done,
           RequestPriority priority = RequestPriority::scheduling);

  /// Reads one page of the keys with a prefix, starting after the key `after` (empty: first page).
  void list(const std::string& prefix, const std::string& after,
            std::function<void(ListReply)> done,
            RequestPriority priority = RequestPriority::scheduling);

  /// Reads the first page of the keys with a prefix that few keys have. Times out as early as other
  /// requests do, unlike `list`.
  void list_few(const std::string& prefix, std::function<void(ListReply)> done,
                RequestPriority priority = RequestPriority::scheduling);

  /// Sends a transaction once.
  void commit(const Transaction& transaction, std::function<void(CommitReply)> done,
              RequestPriority priority = RequestPriority::scheduling);

  /// Retries a transaction until its outcome is known, see CertainCommit. Gives up with `unknown`
  /// when `should_retry` returns false.
  void commit_until_certain(Transaction transaction, std::function<bool()> should_retry,
                            std::function<void(CommitReply)> done,
                            RequestPriority priority = RequestPriority::scheduling);

  /// Creates a lease that expires `ttl` seconds after its last renewal. With the status `ok`, the
  /// number passed to `done` is the id of the lease.
  void grant(Seconds ttl, std::function<void(Status, std::uint64_t)> done);
  /// Renews a lease; `missing` when it has expired.
  void extend(std::uint64_t lease, std::function<void(Status)> done);
  /// Revokes a lease; best effort, without a retry.
  void release(std::uint64_t lease);

  /// Waits up to `block` seconds for changes after the revision `since` of keys with a prefix;
  /// `too_old` when the store no longer keeps all of these changes.
  void watch(const std::string& prefix, std::uint64_t since, Seconds block,
             std::function<void(WatchReply)> done,
             RequestPriority priority = RequestPriority::lease);

  /// How long all requests have been failing; 0 when the latest one succeeded.
  Seconds failing_for() const { return availability_.failing_for(); }
  /// How long no user's request could be served: all requests fail, or other requests of this
  /// controller use up its share of the limits; 0 when the latest one could.
  Seconds users_failing_for() { return std::max(failing_for(), queue_.users_starved_for()); }
  /// Whether a request should be attempted. False while requests have been failing for longer than
  /// one timeout, except for an occasional probe. Callers that serve a user then report at once
  /// that the store is unavailable.
  bool allow_request() { return availability_.allow_request(); }
  bool has_ever_answered() const { return availability_.has_ever_answered(); }
  Seconds call_timeout() const { return timeout_; }

 private:
  void submit(transport::Request request, Seconds timeout, RequestPriority priority,
              std::function<void(Status, transport::Response)> done);
  void submit_list(transport::Request request, Seconds timeout, std::function<void(ListReply)> done,
                   RequestPriority priority);
  void send(StoreRequest request);
  void record_outcome(transport::Outcome outcome, int http_status);
  CommitReply read_commit_reply(Status status, const std::string& body);
  void lower_limits();

  transport::Client& client_;
  transport::Clock& clock_;
  std::string endpoint_;
  Seconds timeout_;  // of requests that do not block; lists have a longer one
  StoreAvailability availability_;
  RateLimiter limiter_;
  RequestStatistics statistics_;
  RequestQueue queue_;
  transport::CallbackScope scope_;
};

}  // namespace larkroad::storage
