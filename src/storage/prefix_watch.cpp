#include "storage/prefix_watch.hpp"

#include <algorithm>
#include <utility>

#include "log.hpp"

namespace larkroad::storage {

PrefixWatch::PrefixWatch(transport::Clock& clock, KeyValueClient& store, Options options,
                         Callbacks callbacks)
    : clock_(clock),
      store_(store),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      scope_(clock) {}

void PrefixWatch::start() {
  scope_.restart();
  mode_ = Mode::reads_by_itself;
  read();
}

void PrefixWatch::start_after(std::uint64_t revision) {
  scope_.restart();
  mode_ = Mode::caller_reads;
  revision_ = revision;
  watch();
}

void PrefixWatch::read() {
  store_.list_few(options_.prefix,
                  scope_.wrap([this](const ListReply& reply) { handle_read(reply); }),
                  RequestPriority::lease);
}

void PrefixWatch::handle_read(const ListReply& reply) {
  if (reply.status != Status::ok) {
    retry_later();
    return;
  }
  revision_ = std::max(revision_, reply.revision);
  const auto is_current = scope_.is_current();
  callbacks_.on_read(reply);
  if (is_current()) watch();
}

void PrefixWatch::watch() {
  store_.watch(options_.prefix, revision_, options_.block,
               scope_.wrap([this, sent_at = clock_.now()](const WatchReply& reply) {
                 handle_reply(reply, sent_at);
               }));
}

void PrefixWatch::handle_reply(const WatchReply& reply, Seconds sent_at) {
  if (reply.status == Status::ok) {
    deliver_changes(reply, sent_at);
  } else if (reply.status == Status::too_old) {
    handle_too_old();
  } else {
    retry_later();
  }
}

void PrefixWatch::deliver_changes(const WatchReply& reply, Seconds sent_at) {
  const bool brought_changes = !reply.events.empty() && reply.revision > revision_;
  const bool waited = clock_.now() - sent_at >= options_.retry_delay;
  revision_ = std::max(revision_, reply.revision);
  const auto is_current = scope_.is_current();
  callbacks_.on_changes(reply, sent_at);
  if (!is_current()) return;
  if (brought_changes || waited) {
    watch();
  } else {
    scope_.after(options_.retry_delay, [this] { watch(); });
  }
}

void PrefixWatch::handle_too_old() {
  spdlog::info("watch start too old: prefix={} revision={}", options_.prefix, revision_);
  if (mode_ == Mode::caller_reads) {
    stop();
    callbacks_.on_changes_lost(revision_);
  } else {
    retry_later();
  }
}

void PrefixWatch::retry_later() {
  scope_.after(options_.retry_delay, [this] {
    if (mode_ == Mode::caller_reads) {
      watch();
    } else {
      read();
    }
  });
}

}  // namespace larkroad::storage
