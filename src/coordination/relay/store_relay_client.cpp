#include "coordination/relay/store_relay_client.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/relay/store_relay_limits.hpp"
#include "log.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {
namespace {

using storage::Status;
using transport::Outcome;

// Share of the store's allowed changes for all relays together. Each batch takes two changes: the
// batch and its answer.
constexpr double kWriteShare = 0.3;
constexpr double kChangesPerBatch = 2;

// Finds the answer to this batch; the key may still hold the answer to an earlier one.
std::optional<transport::Response> find_answer(const std::vector<storage::Event>& events,
                                               const std::string& key, std::uint64_t number) {
  for (const auto& event : events) {
    if (event.key != key || event.deleted) continue;
    const auto record = storage::decode_relay_answer(event.data);
    if (record.number == number) return transport::Response{record.status, record.body, 0};
  }
  return std::nullopt;
}

}  // namespace

StoreRelayClient::StoreRelayClient(transport::Clock& clock, storage::KeyValueClient& store,
                                   const Settings& settings)
    : clock_(clock),
      store_(store),
      settings_(settings),
      // Starts at the time in ms, above any number that an earlier process of this controller used.
      next_number_(static_cast<std::uint64_t>(clock.unix_time() * 1000)),
      slots_(static_cast<size_t>(settings.strictest_store_limits().max_transaction_changes)),
      scope_(clock) {}

size_t StoreRelayClient::batch_bytes() const {
  return static_cast<size_t>(settings_.strictest_store_limits().value_bytes() * kRelayFillRatio);
}

Seconds StoreRelayClient::gather_time() const {
  const double allowed = settings_.strictest_store_limits().write_rps * kWriteShare;
  return static_cast<double>(settings_.peers.size()) * kChangesPerBatch / allowed;
}

void StoreRelayClient::send(const protocol::RelayBatch& batch, Seconds deadline,
                            transport::OnReply on_reply) {
  const storage::RelayRequestRecord record{next_number_++, batch};
  const storage::Json data = storage::encode(record);
  const bool fits = storage::fits_value(data, settings_.strictest_store_limits().value_bytes());
  const auto slot = fits ? slots_.acquire() : std::nullopt;
  if (!slot) {
    scope_.after(0, [on_reply = std::move(on_reply)] { on_reply(Outcome::not_sent, {}); });
    return;
  }
  spdlog::debug("heartbeat batch relayed through the key-value store: batch={} heartbeats={}",
                record.number, batch.heartbeats.size());
  const BatchInFlight in_flight{*slot, record.number, deadline, std::move(on_reply)};
  storage::Transaction transaction;
  transaction.writes.push_back(
      {storage::relay_request_key(settings_.member, std::to_string(*slot)), data, std::nullopt});
  store_.commit(transaction, scope_.wrap([this, in_flight](const storage::CommitReply& reply) {
    if (reply.status == Status::ok) {
      await_answer(in_flight, reply.revision);
    } else {
      finish(in_flight, Outcome::not_sent, {});
    }
  }));
}

void StoreRelayClient::await_answer(const BatchInFlight& batch, std::uint64_t since_revision) {
  const Seconds time_left = batch.deadline - clock_.now();
  if (time_left <= 0) {
    finish(batch, Outcome::unknown, {});
    return;
  }
  const std::string key = storage::relay_answer_key(settings_.member, std::to_string(batch.slot));
  store_.watch(key, since_revision, time_left,
               scope_.wrap([this, batch, since_revision](const storage::WatchReply& reply) {
                 if (deliver_answer(batch, reply)) return;
                 if (reply.status == Status::ok) {
                   await_answer(batch, std::max(since_revision, reply.revision));
                 } else {
                   finish(batch, Outcome::unknown, {});
                 }
               }));
}

bool StoreRelayClient::deliver_answer(const BatchInFlight& batch,
                                      const storage::WatchReply& reply) {
  const std::string key = storage::relay_answer_key(settings_.member, std::to_string(batch.slot));
  const auto answer = find_answer(reply.events, key, batch.number);
  if (!answer) return false;
  finish(batch, Outcome::answered, *answer);
  return true;
}

void StoreRelayClient::finish(const BatchInFlight& batch, Outcome outcome,
                              const transport::Response& response) {
  slots_.release(batch.slot);
  if (outcome != Outcome::answered) {
    spdlog::debug("heartbeat batch relayed through the key-value store not answered: batch={}",
                  batch.number);
  }
  batch.on_reply(outcome, response);
}

}  // namespace larkroad::coordination
