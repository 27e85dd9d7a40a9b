/// The relay's side of the route to the leader by way of the key-value store.
///
/// Where a network partition lies between two zones, a relay in one cannot reach a leader in the
/// other, while both reach the store. The relay then writes its batch to a key of its own
/// (`q/MEMBER/SLOT`); the leader sees it by a watch and writes its answer to another
/// (`a/MEMBER/SLOT`). Batch and answer are the same as on the direct route, so what holds for
/// relays holds here, too: only the leader's own answer renews a lease, and late copies of a batch
/// change nothing. The leader's side is StoreRelayServer.
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
/// As many batches may be in flight as a transaction of the store may have changes; each takes a
/// slot. Owned by the controller, used by Relay.
class StoreRelayClient {
 public:
  StoreRelayClient(transport::Clock& clock, storage::KeyValueClient& store,
                   const Settings& settings);

  bool has_free_slot() const { return slots_.has_free(); }
  /// How many bytes of heartbeats one batch may hold.
  size_t batch_bytes() const;
  /// For how long heartbeats are to be gathered. One batch of every relay in that time takes a
  /// small part of the changes that the store allows. Several batches in one such time take more,
  /// bounded by this controller's own part of the changes.
  Seconds gather_time() const;
  /// Calls `on_reply` with the leader's answer, or with another outcome when there is none by
  /// `deadline`. Never calls it before it returns.
  void send(const protocol::RelayBatch& batch, Seconds deadline, transport::OnReply on_reply);

 private:
  struct BatchInFlight {
    size_t slot = 0;
    std::uint64_t number = 0;  // tells its answer from those to earlier batches of the same slot
    Seconds deadline = 0;
    transport::OnReply on_reply;
  };
  void await_answer(const BatchInFlight& batch, std::uint64_t since_revision);
  // Whether the answer to the batch is among the events; the batch is then over.
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
