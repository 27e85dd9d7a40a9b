/// A transaction that is retried until its outcome is known.
#pragma once

#include <functional>
#include <memory>

#include "storage/store_messages.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::storage {

class KeyValueClient;

/// Retries one transaction whose reply may be lost.
///
/// When the reply is lost, the transaction may have been applied, or may still be. The same
/// transaction is sent again. If a precondition then fails, an earlier copy may have changed the
/// key: the key of the first write is read back, and the transaction counts as applied when the key
/// holds the data of that write.
///
/// Keeps itself alive until it has called `done`, which it does exactly once. Used by
/// KeyValueClient::commit_until_certain.
class CertainCommit : public std::enable_shared_from_this<CertainCommit> {
 public:
  struct Callbacks {
    std::function<bool()> should_retry;  ///< called before each retry; false: give up
    std::function<void(CommitReply)> done;
  };

  /// `scope` ends with the client, which drops scheduled retries.
  CertainCommit(KeyValueClient& client, transport::CallbackScope& scope, Transaction transaction,
                Callbacks callbacks, RequestPriority priority);

  /// Sends the transaction. This object must be owned by a shared pointer.
  void send();

 private:
  void handle_reply(CommitReply reply);
  void handle_conflict(CommitReply reply);
  /// Whether the conflict may be caused by an earlier copy of this transaction.
  bool may_be_own_write(const CommitReply& conflict) const;
  void read_back(CommitReply conflict);
  void retry();

  KeyValueClient& client_;
  transport::CallbackScope& scope_;
  Transaction transaction_;
  Callbacks callbacks_;
  RequestPriority priority_;
  bool reply_lost_ = false;
  int retries_ = 0;
};

}  // namespace larkroad::storage
