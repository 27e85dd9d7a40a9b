/// Client of the consensus-backed key-value store, the only place where controllers keep state.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "settings.hpp"
#include "storage/rate_limiter.hpp"
#include "storage/request_queue.hpp"
#include "storage/store_availability.hpp"
#include "storage/store_messages.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::storage {

/// Reads, compare-and-swap transactions, leases and watches.
///
/// Keeps this controller's share of the store's limits, and distinguishes requests that were
/// refused (`unavailable`) from those that may take effect, now or later (`unknown`). Each
/// controller has one client, which all of its parts share. Callbacks run on the event loop; they
/// are dropped when the client is destroyed. Not thread-safe.
class KeyValueClient {
 public:
  KeyValueClient(transport::Clock& clock, transport::Client& client, const Settings& settings);

  /// The parts of the store's limits that this controller may use, between 0 and 1.
  void set_share(double requests, double writes) { limiter_.set_share(requests, writes); }

  /// Reads one key; `missing` when it does not exist.
  void get(const std::string& key, std::function<void(Status, Entry)> done,
           RequestPriority priority = RequestPriority::scheduling);

  /// Reads one page of the keys with a prefix, beginning after the key `after` (empty: the first).
  void list(const std::string& prefix, const std::string& after,
            std::function<void(ListReply)> done,
            RequestPriority priority = RequestPriority::scheduling);

  /// Sends a transaction once.
  void commit(const Transaction& transaction, std::function<void(CommitReply)> done,
              RequestPriority priority = RequestPriority::scheduling);

  /// Sends a transaction until its outcome is certain, see CertainCommit. Gives up, with `unknown`,
  /// when `still_wanted` says no more.
  void commit_until_certain(Transaction transaction, std::function<bool()> still_wanted,
                            std::function<void(CommitReply)> done,
                            RequestPriority priority = RequestPriority::scheduling);

  /// Creates a lease that ends `life` seconds after its last renewal. The number passed to `done`
  /// is the lease, if the status is `ok`.
  void grant(Seconds life, std::function<void(Status, std::uint64_t)> done);
  /// Renews a lease; `missing` when it has ended.
  void extend(std::uint64_t lease, std::function<void(Status)> done);
  /// Ends a lease, if the request gets through.
  void release(std::uint64_t lease);

  /// Waits for changes after the revision `since` of keys with a prefix, for `block` seconds at
  /// most; `too_old` when the store no longer keeps all of them.
  void watch(const std::string& prefix, std::uint64_t since, Seconds block,
             std::function<void(WatchReply)> done,
             RequestPriority priority = RequestPriority::lease);

  /// How long requests have failed without a break; 0 when the latest one was answered.
  Seconds failing_for() const { return availability_.failing_for(); }
  /// False while requests have failed for longer than one may take, but for a probe now and then:
  /// a caller with a user waiting then answers at once that the store is unavailable.
  bool worth_trying() { return availability_.worth_trying(); }
  bool answered_ever() const { return availability_.answered_ever(); }
  Seconds call_timeout() const { return timeout_; }

 private:
  void submit(transport::Request request, Seconds timeout, RequestPriority priority,
              std::function<void(Status, transport::Response)> done);
  void send(StoreRequest request);
  void record_answer(transport::Outcome outcome, int http_status);
  CommitReply read_commit_reply(Status status, const std::string& body);
  void lower_limits();

  transport::Client& client_;
  transport::Clock& clock_;
  std::string endpoint_;
  Seconds timeout_;  // of requests that do not block; lists take longer
  StoreAvailability availability_;
  RateLimiter limiter_;
  RequestQueue queue_;
  transport::CallbackScope scope_;
};

}  // namespace larkroad::storage
