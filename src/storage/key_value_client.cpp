#include "storage/key_value_client.hpp"

#include <algorithm>
#include <memory>
#include <type_traits>
#include <utility>

#include "log.hpp"
#include "storage/certain_commit.hpp"
#include "transport/http_status.hpp"

namespace larkroad::storage {
namespace {

using transport::Outcome;
using transport::Response;
namespace http_status = transport::http_status;

// The request timeout as a fraction of the leader lease, with bounds. It is well above the few
// hundred milliseconds that a slow reply takes, and allows several attempts within one lease.
constexpr double kTimeoutRatio = 1.0 / 16;
constexpr Seconds kMinTimeout = 0.5;
constexpr Seconds kMaxTimeout = 2.0;
// Pages of lists are large and take longer.
constexpr double kListTimeoutFactor = 4;

// Decodes the body of a reply. Logs an error and returns nullopt when it is malformed.
template <typename Decode>
std::optional<std::invoke_result_t<Decode, const std::string&>> try_decode(const char* request,
                                                                           const std::string& body,
                                                                           Decode decode) {
  try {
    return decode(body);
  } catch (const std::exception& error) {
    spdlog::error("malformed reply from the store: request={} error={}", request, error.what());
    return std::nullopt;
  }
}

// Decodes a reply that contains its status: Reply is ListReply or WatchReply.
template <typename Reply>
Reply read_reply(const char* request, Status status, const Response& response,
                 Reply (*decode)(const std::string&)) {
  Reply reply;
  reply.status = status;
  if (status != Status::ok) return reply;
  if (auto decoded = try_decode(request, response.body, decode)) return *std::move(decoded);
  reply.status = Status::unknown;
  return reply;
}

// Passes a reply to `done` as a status and a value, which is only meaningful with `ok`.
template <typename Value>
void deliver_value(const char* request, Status status, const Response& response,
                   Value (*decode)(const std::string&),
                   const std::function<void(Status, Value)>& done) {
  if (status != Status::ok) {
    done(status, {});
    return;
  }
  auto value = try_decode(request, response.body, decode);
  if (value) {
    done(Status::ok, *std::move(value));
  } else {
    done(Status::unknown, {});
  }
}

}  // namespace

KeyValueClient::KeyValueClient(transport::Clock& clock, transport::Client& client,
                               const Settings& settings)
    : client_(client),
      clock_(clock),
      endpoint_(settings.state.text()),
      timeout_(std::clamp(settings.lease_s * kTimeoutRatio, kMinTimeout, kMaxTimeout)),
      availability_(clock, timeout_),
      limiter_(settings, clock.now()),
      statistics_(clock, settings.lease_s),
      queue_(clock, limiter_, statistics_,
             [this](StoreRequest request) { send(std::move(request)); }),
      scope_(clock) {}

void KeyValueClient::submit(transport::Request request, Seconds timeout, RequestPriority priority,
                            std::function<void(Status, Response)> done) {
  queue_.submit({std::move(request), timeout, 0, priority, std::move(done)});
}

void KeyValueClient::send(StoreRequest request) {
  client_.call(
      endpoint_, std::move(request.request), request.timeout,
      scope_.wrap([this, done = std::move(request.done)](Outcome outcome, Response response) {
        record_outcome(outcome, response.status);
        const Status status = status_of(outcome, response.status);
        statistics_.record_status(status);
        done(status, std::move(response));
      }));
}

void KeyValueClient::record_outcome(Outcome outcome, int status) {
  // A 429 also shows that the store is available. A 503 may affect only this controller, and counts
  // as a failure.
  if (outcome == Outcome::answered && status != http_status::kServiceUnavailable) {
    availability_.record_success();
  } else {
    availability_.record_failure();
  }
  if (outcome == Outcome::answered && status == http_status::kTooManyRequests) lower_limits();
}

void KeyValueClient::lower_limits() {
  const std::optional<Seconds> duration = limiter_.lower_limits(clock_.now());
  if (!duration) return;
  spdlog::info("store limits lowered: write_rps={} duration_s={:.0f}", limiter_.write_limit(),
               *duration);
}

void KeyValueClient::get(const std::string& key, std::function<void(Status, Entry)> done,
                         RequestPriority priority) {
  submit(encode_get(key), timeout_, priority,
         [done = std::move(done)](Status status, const Response& response) {
           deliver_value("get", status, response, decode_entry, done);
         });
}

void KeyValueClient::list(const std::string& prefix, const std::string& after,
                          std::function<void(ListReply)> done, RequestPriority priority) {
  submit_list(encode_list(prefix, after), timeout_ * kListTimeoutFactor, std::move(done), priority);
}

void KeyValueClient::list_few(const std::string& prefix, std::function<void(ListReply)> done,
                              RequestPriority priority) {
  submit_list(encode_list(prefix, ""), timeout_, std::move(done), priority);
}

void KeyValueClient::submit_list(transport::Request request, Seconds timeout,
                                 std::function<void(ListReply)> done, RequestPriority priority) {
  submit(std::move(request), timeout, priority,
         [done = std::move(done)](Status status, const Response& response) {
           done(read_reply("list", status, response, decode_list));
         });
}

void KeyValueClient::commit(const Transaction& transaction, std::function<void(CommitReply)> done,
                            RequestPriority priority) {
  const auto changes = static_cast<double>(transaction.changes());
  auto on_answer = [this, done = std::move(done)](Status status, const Response& response) {
    done(read_commit_reply(status, response.body));
  };
  queue_.submit({encode_commit(transaction), timeout_, changes, priority, std::move(on_answer)});
}

CommitReply KeyValueClient::read_commit_reply(Status status, const std::string& body) {
  const auto decode = [status](const std::string& text) { return decode_commit(status, text); };
  auto reply = try_decode("commit", body, decode);
  if (!reply) return {};
  if (reply->status == Status::invalid) {
    spdlog::error("transaction rejected by the store: answer={}", body);
    // The transaction may exceed limits that the store has lowered.
    lower_limits();
  }
  return *std::move(reply);
}

void KeyValueClient::commit_until_certain(Transaction transaction,
                                          std::function<bool()> should_retry,
                                          std::function<void(CommitReply)> done,
                                          RequestPriority priority) {
  CertainCommit::Callbacks callbacks{std::move(should_retry), std::move(done)};
  std::make_shared<CertainCommit>(*this, scope_, std::move(transaction), std::move(callbacks),
                                  priority)
      ->send();
}

void KeyValueClient::grant(Seconds ttl, std::function<void(Status, std::uint64_t)> done) {
  submit(encode_grant(ttl), timeout_, RequestPriority::lease,
         [done = std::move(done)](Status status, const Response& response) {
           deliver_value("grant", status, response, decode_grant, done);
         });
}

void KeyValueClient::extend(std::uint64_t lease, std::function<void(Status)> done) {
  submit(encode_extend(lease), timeout_, RequestPriority::lease,
         [done = std::move(done)](Status status, const Response&) { done(status); });
}

void KeyValueClient::release(std::uint64_t lease) {
  submit(encode_release(lease), timeout_, RequestPriority::scheduling,
         [](Status, const Response&) {});
}

void KeyValueClient::watch(const std::string& prefix, std::uint64_t since, Seconds block,
                           std::function<void(WatchReply)> done, RequestPriority priority) {
  submit(encode_watch(prefix, since, block), block + timeout_, priority,
         [done = std::move(done)](Status status, const Response& response) {
           done(read_reply("watch", status, response, decode_watch));
         });
}

}  // namespace larkroad::storage
