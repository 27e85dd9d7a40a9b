/// Follows the changes of the keys with a prefix in the key-value store.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::storage {

/// Reads the keys with a prefix and watches for changes from the revision of the store at which
/// they were read, as the list-and-watch clients of other consensus-backed stores do.
///
/// The revision of a key itself is no start for a watch: the store retains a limited number of
/// changes, and a key that is seldom written is older than these. The next request is sent at once
/// only after one that brought changes or waited for them; otherwise it follows after a pause,
/// whatever the store answered. All requests have the priority of lease renewals, which the rate
/// limits do not hold back. Not thread-safe.
class PrefixWatch {
 public:
  struct Options {
    std::string prefix;
    Seconds block = 0;        ///< how long one request waits for changes
    Seconds retry_delay = 0;  ///< pause after a request that failed or brought nothing
  };
  struct Callbacks {
    /// The first page of the keys as they were read, at the start and after each failed watch.
    std::function<void(const ListReply&)> on_read;
    /// A reply with status `ok`, which may have no events, and when its request was sent.
    std::function<void(const WatchReply&, Seconds sent_at)> on_changes;
    /// For a watch begun with `start_after`: changes after this revision are lost, and the watch
    /// has ended.
    std::function<void(std::uint64_t revision)> on_changes_lost;
  };

  PrefixWatch(transport::Clock& clock, KeyValueClient& store, Options options, Callbacks callbacks);

  /// Reads the keys and follows their changes. When a watch fails, the keys are read again.
  void start();
  /// Follows the changes after `revision`, up to which the caller has read the keys itself. A
  /// failed watch is repeated from where it was.
  void start_after(std::uint64_t revision);
  /// Ends the watch; callbacks are not called any more.
  void stop() { scope_.restart(); }
  /// Changes up to this revision have been passed on.
  std::uint64_t revision() const { return revision_; }

 private:
  enum class Mode { reads_by_itself, caller_reads };

  void read();
  void handle_read(const ListReply& reply);
  void watch();
  void handle_reply(const WatchReply& reply, Seconds sent_at);
  void deliver_changes(const WatchReply& reply, Seconds sent_at);
  void handle_too_old();
  void retry_later();

  transport::Clock& clock_;
  KeyValueClient& store_;
  Options options_;
  Callbacks callbacks_;
  Mode mode_ = Mode::reads_by_itself;
  std::uint64_t revision_ = 0;
  transport::CallbackScope scope_;
};

}  // namespace larkroad::storage
