#include "storage/certain_commit.hpp"

#include <algorithm>
#include <utility>

#include "storage/key_value_client.hpp"

namespace larkroad::storage {
namespace {

constexpr Seconds kFirstRetryDelay = 0.05;
constexpr Seconds kMaxRetryDelay = 0.5;
constexpr int kMaxDoublings = 4;

}  // namespace

CertainCommit::CertainCommit(KeyValueClient& client, transport::CallbackScope& scope,
                             Transaction transaction, Callbacks callbacks, RequestPriority priority)
    : client_(client),
      scope_(scope),
      transaction_(std::move(transaction)),
      callbacks_(std::move(callbacks)),
      priority_(priority) {}

void CertainCommit::send() {
  client_.commit(
      transaction_,
      [self = shared_from_this()](CommitReply reply) { self->handle_reply(std::move(reply)); },
      priority_);
}

void CertainCommit::handle_reply(CommitReply reply) {
  switch (reply.status) {
    case Status::unknown:
      reply_lost_ = true;
      retry();
      return;
    case Status::unavailable:
      retry();
      return;
    case Status::conflict:
      handle_conflict(std::move(reply));
      return;
    default:
      callbacks_.done(std::move(reply));
  }
}

void CertainCommit::handle_conflict(CommitReply reply) {
  if (may_be_own_write(reply)) {
    read_back(std::move(reply));
  } else {
    callbacks_.done(std::move(reply));
  }
}

bool CertainCommit::may_be_own_write(const CommitReply& conflict) const {
  if (!reply_lost_ || transaction_.writes.empty()) return false;
  // An earlier copy that was applied has changed the key of its first write. Comparing the data is
  // not enough: an unchanged key may hold the same data from an earlier write.
  const std::string& first_key = transaction_.writes.front().key;
  const bool unchanged =
      transaction_.has_precondition_on(first_key) && !conflict.failed_on(first_key);
  return !unchanged;
}

void CertainCommit::read_back(CommitReply conflict) {
  client_.get(
      transaction_.writes.front().key,
      [self = shared_from_this(), conflict = std::move(conflict)](Status status,
                                                                  const Entry& entry) {
        if (status == Status::ok && entry.data == self->transaction_.writes.front().data) {
          self->callbacks_.done({Status::ok, entry.revision, {}});
        } else if (status == Status::ok || status == Status::missing) {
          self->callbacks_.done(conflict);
        } else {
          self->retry();
        }
      },
      priority_);
}

void CertainCommit::retry() {
  if (!callbacks_.should_retry()) {
    callbacks_.done({Status::unknown, 0, {}});
    return;
  }
  const int doublings = std::min(retries_++, kMaxDoublings);
  const Seconds delay = std::min(kFirstRetryDelay * (1 << doublings), kMaxRetryDelay);
  scope_.after(delay, [self = shared_from_this()] { self->send(); });
}

}  // namespace larkroad::storage
