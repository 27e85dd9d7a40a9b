/// The leader's side of the route through the key-value store; see store_relay_client.hpp.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "protocol/relay_messages.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/prefix_watch.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Watches for batches that relays write, and writes the leader's answers to them.
///
/// Owned by the controller, which calls `begin` when it is elected and `end` when it is deposed.
/// Batches written before `begin` are ignored: they were meant for an earlier leader, or their
/// relays no longer wait for an answer.
class StoreRelayServer {
 public:
  /// Handles a batch; throws if it is invalid, which is logged.
  using Handler = std::function<void(const protocol::RelayBatch&, transport::Respond)>;

  /// `fencing_token` returns the leader's current token, which is a precondition of writing
  /// answers.
  StoreRelayServer(transport::Clock& clock, storage::KeyValueClient& store,
                   const Settings& settings, std::function<std::uint64_t()> fencing_token,
                   Handler handler);

  /// Starts watching.
  void begin();
  /// Stops watching; batches that are still being handled get no answer.
  void end();

 private:
  struct BatchSource {
    std::string member;
    std::string slot;
    std::uint64_t number = 0;  // lets the relay recognize late answers
  };
  void handle(const std::vector<storage::Event>& events);
  void handle(const storage::Event& event);
  void write_answer(const BatchSource& source, const transport::Response& response);

  storage::KeyValueClient& store_;
  const Settings& settings_;
  std::function<std::uint64_t()> fencing_token_;
  Handler handler_;
  transport::CallbackScope scope_;  // of the current term
  storage::PrefixWatch watch_;
};

}  // namespace larkroad::coordination
