/// The relay's side of the route to the leader through the key-value store.
///
/// During a network partition between two zones, a relay in one zone cannot reach a leader in the
/// other, while both reach the store. The relay then writes its batch to a key of its own
/// (`q/MEMBER/SLOT`); the leader receives it from a watch and writes its answer to another key
/// (`a/MEMBER/SLOT`). Batch and answer are the same as on the direct route, with the same
/// guarantees: only the leader's own answer renews a lease, and late duplicates of a batch have no
/// effect. The leader's side is StoreRelayServer.
#pragma once

#include <cstddef>
#include <cstdint>

#include "coordination/relay/slot_pool.hpp"
#include "protocol/relay_messages.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Writes batches of heartbeats for the leader and waits for its answers.
///
/// The number of batches in flight is limited to the store's limit on changes per transaction; each
/// batch takes a slot. Owned by the controller, used by Relay.
class StoreRelayClient {
 public:
  StoreRelayClient(transport::Clock& clock, storage::KeyValueClient& store,
                   const Settings& settings);

  bool has_free_slot() const { return slots_.has_free(); }
  /// The maximum size of the heartbeats of one batch.
  size_t batch_bytes() const;
  /// How long to gather heartbeats for a batch. One batch per relay in this time uses only a small
  /// share of the changes that the store allows. Several batches within it use more, bounded by
  /// this controller's own share of the changes.
  Seconds gather_time() const;
  /// Calls `on_reply` with the leader's answer, or with another outcome if there is none by
  /// `deadline`. Never calls it synchronously.
  void send(const protocol::RelayBatch& batch, Seconds deadline, transport::OnReply on_reply);

 private:
  struct BatchInFlight {
    size_t slot = 0;
    std::uint64_t number = 0;  // distinguishes its answer from those to earlier batches of the slot
    Seconds deadline = 0;
    transport::OnReply on_reply;
  };
  void await_answer(const BatchInFlight& batch, std::uint64_t since_revision);
  // Finishes the batch and returns true if the events contain its answer.
  bool deliver_answer(const BatchInFlight& batch, const storage::WatchReply& reply);
  void finish(const BatchInFlight& batch, transport::Outcome outcome,
              const transport::Response& response);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  std::uint64_t next_number_;
  SlotPool slots_;
  transport::CallbackScope scope_;
};

}  // namespace larkroad::coordination
