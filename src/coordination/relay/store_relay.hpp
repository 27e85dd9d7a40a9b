// Batches of workers' reports that reach the leader by way of the state service.
//
// Where two zones cannot reach each other, a relay in the one cannot reach a leader in the other,
// while both reach the state service. The relay then writes its batch to a key of its own, the
// leader sees it by a watch and writes its answer to another. It is the same batch and the same
// answer as on the direct way, so what is said of relays holds here, too: only the leader's own
// answer renews a lease, and late copies of a batch change nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "protocol/relay_messages.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

using transport::Seconds;

// The relay's side. As many batches may be under way as a transaction may have changes.
class StoreRelayClient {
 public:
  StoreRelayClient(transport::Clock& clock, storage::KeyValueClient& store,
                   const Settings& settings);

  bool has_free_slot() const;
  // How many bytes of reports one batch may hold, and for how long they are to be gathered: one
  // batch of every relay in that time takes a small part of the changes that the state service
  // allows. Several batches in one such time take more, bounded by the node's own part of the
  // changes.
  size_t batch_bytes() const;
  Seconds gather_time() const;
  // Calls back with the leader's answer, or with another outcome when there is none by `until`.
  void send(const protocol::RelayBatch& batch, Seconds until, transport::OnReply done);

 private:
  void await_answer(size_t slot, std::uint64_t number, std::uint64_t since, Seconds until,
                    transport::OnReply done);
  void finish(size_t slot, transport::Outcome outcome, const transport::Response& response,
              const transport::OnReply& done);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  std::uint64_t next_number_;
  std::vector<bool> slot_taken_;
};

// The leader's side.
class StoreRelayServer {
 public:
  using Handler = std::function<void(const protocol::RelayBatch&, transport::Respond)>;

  // `token`: that of the leadership, by which answers are guarded.
  StoreRelayServer(transport::Clock& clock, storage::KeyValueClient& store,
                   const Settings& settings, std::function<std::uint64_t()> fencing_token,
                   Handler handler);

  // Looks for batches from now on, or no longer.
  void begin();
  void end();

 private:
  void find_revision(std::uint64_t epoch);
  void watch(std::uint64_t epoch, std::uint64_t since);
  void take(const storage::Event& event);
  void answer(const std::string& member, const std::string& slot, std::uint64_t number,
              const transport::Response& response);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  std::function<std::uint64_t()> fencing_token_;
  Handler handler_;
  std::uint64_t epoch_ = 0;
};

}  // namespace larkroad::coordination
