#include "coordination/recovery/paged_reader.hpp"

#include <utility>

namespace larkroad::coordination {
namespace {

// A page that could not be read is asked for again after this part of the heartbeat interval.
constexpr double kRetryRatio = 1.0 / 10;
// All of a failover waits for a few pages. Behind users' questions, of which there may be many
// times as many as usual, they once took 48 s.
constexpr storage::RequestPriority kPriority = storage::RequestPriority::lease;

}  // namespace

PagedReader::PagedReader(transport::Clock& clock, storage::KeyValueClient& store,
                         const Settings& settings)
    : clock_(clock), store_(store), settings_(settings), scope_(clock) {}

void PagedReader::read(const std::string& prefix, OnPage on_page, OnComplete on_complete) {
  request_page({prefix, std::move(on_page), std::move(on_complete)}, "");
}

void PagedReader::request_page(const Read& read, const std::string& after) {
  const Seconds requested_at = clock_.now();
  store_.list(read.prefix, after,
              scope_.wrap([this, read, after, requested_at](storage::ListReply reply) {
                page_answered(read, after, {std::move(reply), requested_at});
              }),
              kPriority);
}

void PagedReader::page_answered(const Read& read, const std::string& after, Page page) {
  if (page.reply.status != storage::Status::ok) {
    scope_.after(settings_.heartbeat_interval_s * kRetryRatio,
                 [this, read, after] { request_page(read, after); });
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
