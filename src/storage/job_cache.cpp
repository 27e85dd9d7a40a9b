#include "storage/job_cache.hpp"

#include "storage/records.hpp"

namespace larkroad::storage {

void JobCache::fresh(std::function<void(Status)> done) {
  waiting_.push_back(std::move(done));
  if (asking_) return;
  asking_ = true;
  // Those that come within a moment go with the same call.
  clock_.after(pause_, [this] { ask(); });
}

const JobCache::Seen* JobCache::find(const std::string& id) const {
  const auto it = jobs_.find(job_key(id));
  return it == jobs_.end() ? nullptr : &it->second;
}

void JobCache::ask() {
  // The call is sent after all of these have asked, so its answer is no older than any of them.
  asked_ = std::move(waiting_);
  waiting_.clear();
  if (revision_ == 0) {
    jobs_.clear();
    list("");
    return;
  }
  store_.watch(
      kJobPrefix, revision_, 0,
      [this](WatchReply reply) {
        if (reply.status == Status::ok) {
          for (const auto& event : reply.events) {
            if (event.deleted) {
              jobs_.erase(event.key);
            } else {
              put(event.key, event.data);
            }
          }
          revision_ = std::max(revision_, reply.revision);
        } else if (reply.status == Status::too_old) {
          revision_ = 0;
          jobs_.clear();
          list("");
          return;
        }
        answer(reply.status);
      },
      RequestPriority::user);
}

void JobCache::list(const std::string& after) {
  store_.list(
      kJobPrefix, after,
      [this](ListReply reply) {
        if (reply.status != Status::ok) {
          revision_ = 0;
          answer(reply.status);
          return;
        }
        // Changes since the first page come with the next call.
        if (revision_ == 0) revision_ = reply.revision;
        for (const auto& entry : reply.entries) put(entry.key, entry.data);
        if (reply.more && !reply.entries.empty()) {
          list(reply.entries.back().key);
        } else {
          answer(Status::ok);
        }
      },
      RequestPriority::user);
}

void JobCache::put(const std::string& key, const Json& data) {
  const Json* cancelled = protocol::find(data, "cancelled");
  jobs_[key] = {cancelled != nullptr && cancelled->is_boolean() && cancelled->get<bool>()};
}

void JobCache::answer(Status status) {
  const auto asked = std::move(asked_);
  asked_.clear();
  asking_ = false;
  for (const auto& done : asked) done(status);
  if (!waiting_.empty() && !asking_) {
    asking_ = true;
    clock_.after(pause_, [this] { ask(); });
  }
}

}  // namespace larkroad::storage
