#include "coordination/recovery/paged_reader.hpp"

#include <utility>

namespace larkroad::coordination {
namespace {

// Delay before a failed page request is retried, in heartbeat intervals.
constexpr double kRetryDelayIntervals = 1.0 / 10;
// Failover blocks on these few pages, so they take precedence over user queries. Queued behind a
// surge of user queries they took 48 s.
constexpr storage::RequestPriority kReadPriority = storage::RequestPriority::lease;

}  // namespace

PagedReader::PagedReader(transport::Clock& clock, storage::KeyValueClient& store,
                         const Settings& settings)
    : clock_(clock), store_(store), settings_(settings), scope_(clock) {}

void PagedReader::read(const std::string& prefix, OnPage on_page, OnComplete on_complete) {
  request_page({prefix, std::move(on_page), std::move(on_complete)}, "");
}

void PagedReader::request_page(const Read& read, const std::string& after_key) {
  const Seconds requested_at = clock_.now();
  store_.list(read.prefix, after_key,
              scope_.wrap([this, read, after_key, requested_at](storage::ListReply reply) {
                handle_page_reply(read, after_key, {std::move(reply), requested_at});
              }),
              kReadPriority);
}

void PagedReader::handle_page_reply(const Read& read, const std::string& after_key, Page page) {
  if (page.reply.status != storage::Status::ok) {
    scope_.after(settings_.heartbeat_interval_s * kRetryDelayIntervals,
                 [this, read, after_key] { request_page(read, after_key); });
    return;
  }
  const bool more = page.reply.more && !page.reply.entries.empty();
  const std::string last_key = more ? page.reply.entries.back().key : "";
  read.on_page(page);
  if (more) {
    request_page(read, last_key);
  } else {
    read.on_complete();
  }
}

}  // namespace larkroad::coordination
