#include "coordination/relay/store_relay.hpp"

#include <algorithm>

#include "log.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {
namespace {

using storage::Status;
using transport::Outcome;

// What all relays together may take of the changes that the state service allows. Each batch takes
// two: itself and its answer.
constexpr double kWriteShare = 0.3;
constexpr double kChangesPerBatch = 2;
// A batch and its answer leave this part of a value for what is around the reports.
constexpr double kFillRatio = 0.75;
// The watch for batches is opened anew after this part of the workers' lease.
constexpr double kWatchRatio = 1.0 / 2;
constexpr double kRetryRatio = 1.0 / 16;

// What is left of an answer that is too large for a value: the last workers are told to ask again.
std::string fit_answers(const std::string& body, double value_bytes) {
  auto answers = protocol::parse_batch_answers(body);
  std::string out = body;
  for (size_t i = answers.size(); i > 0 && static_cast<double>(out.size()) > value_bytes; --i) {
    answers[i - 1] = {503, ""};
    out = protocol::encode_batch_answers(answers);
  }
  return out;
}

}  // namespace

StoreRelayClient::StoreRelayClient(transport::Clock& clock, storage::KeyValueClient& store,
                                   const Settings& settings)
    : clock_(clock),
      store_(store),
      settings_(settings),
      // Later than any that an earlier process of this controller has used.
      next_number_(static_cast<std::uint64_t>(clock.unix_time() * 1000)),
      slot_taken_(static_cast<size_t>(settings.lasting_store_limits().max_transaction_changes),
                  false) {}

bool StoreRelayClient::has_free_slot() const {
  return std::find(slot_taken_.begin(), slot_taken_.end(), false) != slot_taken_.end();
}

size_t StoreRelayClient::batch_bytes() const {
  return static_cast<size_t>(settings_.lasting_store_limits().value_bytes() * kFillRatio);
}

Seconds StoreRelayClient::gather_time() const {
  const double allowed = settings_.lasting_store_limits().write_rps * kWriteShare;
  return static_cast<double>(settings_.peers.size()) * kChangesPerBatch / allowed;
}

void StoreRelayClient::send(const protocol::RelayBatch& batch, Seconds until,
                            transport::OnReply done) {
  const auto free = std::find(slot_taken_.begin(), slot_taken_.end(), false);
  const storage::RelayRequestRecord record{next_number_++, batch};
  const storage::Json data = storage::encode(record);
  const double limit = settings_.lasting_store_limits().value_bytes();
  if (free == slot_taken_.end() || !storage::fits_value(data, limit)) {
    clock_.after(0, [done = std::move(done)] { done(Outcome::not_sent, {}); });
    return;
  }
  *free = true;
  spdlog::debug("batch {} of {} reports goes by way of the state service", record.number,
                batch.heartbeats.size());
  const auto slot = static_cast<size_t>(free - slot_taken_.begin());
  storage::Transaction txn;
  txn.writes.push_back(
      {storage::relay_request_key(settings_.member, std::to_string(slot)), data, std::nullopt});
  store_.commit(txn, [this, slot, number = record.number, until,
                      done = std::move(done)](const storage::CommitReply& reply) {
    if (reply.status == Status::ok) {
      await_answer(slot, number, reply.revision, until, done);
    } else {
      finish(slot, Outcome::not_sent, {}, done);
    }
  });
}

void StoreRelayClient::await_answer(size_t slot, std::uint64_t number, std::uint64_t since,
                                    Seconds until, transport::OnReply done) {
  const Seconds left = until - clock_.now();
  if (left <= 0) {
    finish(slot, Outcome::unknown, {}, done);
    return;
  }
  const std::string key = storage::relay_answer_key(settings_.member, std::to_string(slot));
  store_.watch(key, since, left,
               [this, slot, number, since, until, key, done](const storage::WatchReply& reply) {
                 for (const auto& event : reply.events) {
                   if (event.key != key || event.deleted) continue;
                   const auto record = storage::decode_relay_answer(event.data);
                   if (record.number != number) continue;  // of an earlier batch
                   finish(slot, Outcome::answered, {record.status, record.body, 0}, done);
                   return;
                 }
                 if (reply.status != Status::ok) {
                   finish(slot, Outcome::unknown, {}, done);
                   return;
                 }
                 await_answer(slot, number, std::max(since, reply.revision), until, done);
               });
}

void StoreRelayClient::finish(size_t slot, Outcome outcome, const transport::Response& response,
                              const transport::OnReply& done) {
  slot_taken_[slot] = false;
  if (outcome != Outcome::answered)
    spdlog::debug("a batch by way of the state service is unanswered");
  done(outcome, response);
}

StoreRelayServer::StoreRelayServer(transport::Clock& clock, storage::KeyValueClient& store,
                                   const Settings& settings,
                                   std::function<std::uint64_t()> fencing_token, Handler handler)
    : clock_(clock),
      store_(store),
      settings_(settings),
      fencing_token_(std::move(fencing_token)),
      handler_(std::move(handler)) {}

void StoreRelayServer::begin() { find_revision(++epoch_); }

void StoreRelayServer::end() { ++epoch_; }

// What was written before is for an earlier leader, or is not waited for any more.
void StoreRelayServer::find_revision(std::uint64_t epoch) {
  store_.list(storage::kRelayRequestPrefix, "", [this, epoch](const storage::ListReply& reply) {
    if (epoch != epoch_) return;
    if (reply.status == Status::ok) {
      watch(epoch, reply.revision);
    } else {
      clock_.after(settings_.lease_s * kRetryRatio, [this, epoch] {
        if (epoch == epoch_) find_revision(epoch);
      });
    }
  });
}

void StoreRelayServer::watch(std::uint64_t epoch, std::uint64_t since) {
  store_.watch(storage::kRelayRequestPrefix, since, settings_.lease_s * kWatchRatio,
               [this, epoch, since](const storage::WatchReply& reply) {
                 if (epoch != epoch_) return;
                 if (reply.status == Status::ok) {
                   for (const auto& event : reply.events) take(event);
                   if (epoch == epoch_) watch(epoch, std::max(since, reply.revision));
                 } else {
                   clock_.after(settings_.lease_s * kRetryRatio, [this, epoch] {
                     if (epoch == epoch_) find_revision(epoch);
                   });
                 }
               });
}

void StoreRelayServer::take(const storage::Event& event) {
  if (event.deleted) return;
  try {
    const auto record = storage::decode_relay_request(event.data);
    const std::string member = record.batch.member;
    const std::string prefix = storage::relay_request_key(member, "");
    if (!event.key.starts_with(prefix)) throw protocol::Malformed("a batch of " + member);
    const std::string slot = event.key.substr(prefix.size());
    handler_(record.batch, [this, epoch = epoch_, member, slot,
                            number = record.number](const transport::Response& response) {
      if (epoch == epoch_) answer(member, slot, number, response);
    });
  } catch (const std::exception& error) {
    spdlog::error("record {}: {}", event.key, error.what());
  }
}

// Guarded by the leader's key: a deposed leader answers nothing. The relay tells a late answer by
// its number.
void StoreRelayServer::answer(const std::string& member, const std::string& slot,
                              std::uint64_t number, const transport::Response& response) {
  const double limit = settings_.lasting_store_limits().value_bytes() * kFillRatio;
  const std::string body =
      response.status == 200 ? fit_answers(response.body, limit) : response.body;
  storage::Transaction txn;
  txn.preconditions.push_back({storage::kLeaderKey, fencing_token_()});
  txn.writes.push_back({storage::relay_answer_key(member, slot),
                        storage::encode(storage::RelayAnswerRecord{number, response.status, body}),
                        std::nullopt});
  store_.commit(txn, [](const storage::CommitReply&) {});
}

}  // namespace larkroad::coordination
