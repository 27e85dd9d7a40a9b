#include "storage/job_cache.hpp"

#include <algorithm>
#include <utility>

#include "storage/job_record.hpp"
#include "storage/record_keys.hpp"

namespace larkroad::storage {
namespace {

// Queries that arrive within 1/200 of a heartbeat interval share one request.
constexpr double kBatchesPerHeartbeat = 200;

}  // namespace

JobCache::JobCache(transport::Clock& clock, KeyValueClient& store, const Settings& settings)
    : store_(store),
      batch_delay_(settings.heartbeat_interval_s / kBatchesPerHeartbeat),
      scope_(clock) {}

void JobCache::refresh(std::function<void(Status)> done) {
  next_callbacks_.push_back(std::move(done));
  if (!updating_) schedule_update();
}

const JobCache::CachedJob* JobCache::find(const std::string& id) const {
  const auto it = jobs_.find(job_key(id));
  return it == jobs_.end() ? nullptr : &it->second;
}

void JobCache::schedule_update() {
  updating_ = true;
  scope_.after(batch_delay_, [this] { update(); });
}

void JobCache::update() {
  // The request is sent after these refreshes were requested, so its reply is recent enough for all
  // of them.
  update_callbacks_ = std::move(next_callbacks_);
  next_callbacks_.clear();
  if (revision_) {
    read_changes();
  } else {
    read_all();
  }
}

void JobCache::read_changes() {
  store_.watch(kJobPrefix, *revision_, 0,
               scope_.wrap([this](const WatchReply& reply) { apply_changes(reply); }),
               RequestPriority::user);
}

void JobCache::apply_changes(const WatchReply& reply) {
  if (reply.status == Status::too_old) {
    read_all();
    return;
  }
  if (reply.status == Status::ok) {
    for (const Event& event : reply.events) {
      if (event.deleted) {
        jobs_.erase(event.key);
      } else {
        store_job(event.key, event.data);
      }
    }
    revision_ = std::max(*revision_, reply.revision);
  }
  finish_update(reply.status);
}

void JobCache::read_all() {
  revision_.reset();
  jobs_.clear();
  read_page("");
}

void JobCache::read_page(const std::string& after) {
  store_.list(kJobPrefix, after, scope_.wrap([this](const ListReply& reply) { apply_page(reply); }),
              RequestPriority::user);
}

void JobCache::apply_page(const ListReply& reply) {
  if (reply.status != Status::ok) {
    revision_.reset();
    finish_update(reply.status);
    return;
  }
  // Keeps the revision of the first page, so that the next update covers changes made while later
  // pages are read. A store at revision 0 is empty and is listed again.
  if (!revision_ && reply.revision > 0) revision_ = reply.revision;
  for (const Entry& entry : reply.entries) store_job(entry.key, entry.data);
  if (reply.more && !reply.entries.empty()) {
    read_page(reply.entries.back().key);
  } else {
    finish_update(Status::ok);
  }
}

void JobCache::store_job(const std::string& key, const Json& data) {
  jobs_[key] = {is_cancelled(data)};
}

void JobCache::finish_update(Status status) {
  const Callbacks callbacks = std::move(update_callbacks_);
  update_callbacks_.clear();
  updating_ = false;
  for (const auto& done : callbacks) done(status);
  // Refreshes requested during this update need another one.
  if (!next_callbacks_.empty() && !updating_) schedule_update();
}

}  // namespace larkroad::storage
