/// The leader's side of the route by way of the key-value store; see store_relay_client.hpp.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "protocol/relay_messages.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Watches for batches that relays have written, and writes the leader's answers to them.
///
/// Owned by the controller, which begins it when it becomes the leader and ends it when it no
/// longer is. Batches that were written before are left alone: they were meant for an earlier
/// leader, or nobody waits for them any more.
class StoreRelayServer {
 public:
  /// Handles a batch; throws what makes it unusable, which is logged.
  using Handler = std::function<void(const protocol::RelayBatch&, transport::Respond)>;

  /// `fencing_token` gives the leader's present one, by which answers are guarded.
  StoreRelayServer(transport::Clock& clock, storage::KeyValueClient& store,
                   const Settings& settings, std::function<std::uint64_t()> fencing_token,
                   Handler handler);

  /// Watches from now on.
  void begin();
  /// No longer watches; batches that are being handled get no answer.
  void end();

 private:
  struct BatchSource {
    std::string member;
    std::string slot;
    std::uint64_t number = 0;  // by which the relay tells a late answer
  };
  // Finds the store's present revision, from which to watch.
  void find_revision();
  void retry_later();
  void watch(std::uint64_t since_revision);
  void handle(const storage::Event& event);
  void write_answer(const BatchSource& source, const transport::Response& response);

  storage::KeyValueClient& store_;
  const Settings& settings_;
  std::function<std::uint64_t()> fencing_token_;
  Handler handler_;
  transport::CallbackScope scope_;  // of this term of leadership
};

}  // namespace larkroad::coordination
