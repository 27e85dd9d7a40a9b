#include "coordination/relay/store_relay_server.hpp"

#include <algorithm>
#include <utility>

#include "coordination/relay/store_relay_limits.hpp"
#include "log.hpp"
#include "storage/records.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;

// Duration of one watch request, and delay before a retry, as fractions of the workers' lease.
constexpr double kWatchLeaseRatio = 1.0 / 2;
constexpr double kRetryLeaseRatio = 1.0 / 16;

// Reduces answers that are too large for one value: the last workers get 503 instead and send their
// heartbeats again.
std::string truncate_answers(const std::string& body, double max_bytes) {
  auto answers = protocol::parse_batch_answers(body);
  std::string out = body;
  for (size_t i = answers.size(); i > 0 && static_cast<double>(out.size()) > max_bytes; --i) {
    answers[i - 1] = {http_status::kServiceUnavailable, ""};
    out = protocol::encode_batch_answers(answers);
  }
  return out;
}

// The slot in the key of a batch; throws if the key does not belong to `member`.
std::string slot_of(const std::string& key, const std::string& member) {
  const std::string prefix = storage::relay_request_key(member, "");
  if (!key.starts_with(prefix)) throw protocol::Malformed("the key is not one of " + member);
  return key.substr(prefix.size());
}

}  // namespace

StoreRelayServer::StoreRelayServer(transport::Clock& clock, storage::KeyValueClient& store,
                                   const Settings& settings,
                                   std::function<std::uint64_t()> fencing_token, Handler handler)
    : store_(store),
      settings_(settings),
      fencing_token_(std::move(fencing_token)),
      handler_(std::move(handler)),
      scope_(clock),
      watch_(clock, store,
             {storage::kRelayRequestPrefix, settings.lease_s * kWatchLeaseRatio,
              settings.lease_s * kRetryLeaseRatio},
             {[](const storage::ListReply&) {},  // batches for an earlier leader
              [this](const storage::WatchReply& reply, Seconds) { handle(reply.events); },
              {}}) {}

void StoreRelayServer::begin() {
  scope_.restart();
  watch_.start();
}

void StoreRelayServer::end() {
  scope_.restart();
  watch_.stop();
}

void StoreRelayServer::handle(const std::vector<storage::Event>& events) {
  // Handling a batch can end this term, if the batch shows that there is a newer leader.
  const auto is_current = scope_.is_current();
  for (const auto& event : events) {
    if (is_current()) handle(event);
  }
}

void StoreRelayServer::handle(const storage::Event& event) {
  if (event.deleted) return;
  try {
    const auto record = storage::decode_relay_request(event.data);
    const std::string& member = record.batch.member;
    BatchSource source{member, slot_of(event.key, member), record.number};
    handler_(record.batch,
             scope_.wrap([this, source = std::move(source)](const transport::Response& response) {
               write_answer(source, response);
             }));
  } catch (const std::exception& error) {
    spdlog::error("invalid batch of relayed heartbeats: key={} error={}", event.key, error.what());
  }
}

// The leader key is a precondition, so that a deposed leader cannot answer.
void StoreRelayServer::write_answer(const BatchSource& source,
                                    const transport::Response& response) {
  const double max_bytes = settings_.strictest_store_limits().value_bytes() * kRelayFillRatio;
  const std::string body = response.status == http_status::kOk
                               ? truncate_answers(response.body, max_bytes)
                               : response.body;
  storage::Transaction transaction;
  transaction.preconditions.push_back({storage::kLeaderKey, fencing_token_()});
  transaction.writes.push_back(
      {storage::relay_answer_key(source.member, source.slot),
       storage::encode(storage::RelayAnswerRecord{source.number, response.status, body}),
       std::nullopt});
  store_.commit(transaction, [](const storage::CommitReply&) {});
}

}  // namespace larkroad::coordination
