/// A transaction that is sent until its outcome is certain.
#pragma once

#include <functional>
#include <memory>

#include "storage/store_messages.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::storage {

class KeyValueClient;

/// Retries one transaction whose outcome may get lost on the way.
///
/// A transaction whose answer is lost may have been carried out, or may yet be. It is sent again as
/// it was. When a precondition then fails, the first copy may be what changed the key: the first
/// write is read back, and the transaction was carried out when its data stands there.
///
/// Keeps itself alive until `done` is called, once. Used by KeyValueClient::commit_until_certain.
class CertainCommit : public std::enable_shared_from_this<CertainCommit> {
 public:
  struct Callbacks {
    std::function<bool()> still_wanted;  ///< asked before each retry
    std::function<void(CommitReply)> done;
  };

  /// `scope` ends together with the client: retries that are scheduled then are dropped.
  CertainCommit(KeyValueClient& client, transport::CallbackScope& scope, Transaction transaction,
                Callbacks callbacks, RequestPriority priority);

  /// Sends the transaction. The object must be owned by a shared pointer.
  void send();

 private:
  void handle_reply(CommitReply reply);
  void handle_conflict(CommitReply reply);
  /// Whether a conflict may be due to an earlier copy of this very transaction.
  bool may_be_own_effect(const CommitReply& conflict) const;
  void read_back(CommitReply conflict);
  void retry();

  KeyValueClient& client_;
  transport::CallbackScope& scope_;
  Transaction transaction_;
  Callbacks callbacks_;
  RequestPriority priority_;
  bool answer_lost_ = false;
  int retries_ = 0;
};

}  // namespace larkroad::storage
