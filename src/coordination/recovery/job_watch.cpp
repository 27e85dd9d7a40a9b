#include "coordination/recovery/job_watch.hpp"

#include <algorithm>
#include <string_view>

#include "log.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {
namespace {

using storage::Status;

// Delay before a failed request is retried, in heartbeat intervals.
constexpr double kRetryDelayIntervals = 1.0 / 10;

std::string job_id_from_key(const std::string& key) {
  return key.substr(std::string_view(storage::kJobPrefix).size());
}

}  // namespace

JobWatch::JobWatch(transport::Clock& clock, storage::KeyValueClient& store, Leadership& leadership,
                   const Settings& settings, ClusterState& cluster, Callbacks callbacks)
    : clock_(clock),
      store_(store),
      leadership_(leadership),
      settings_(settings),
      cluster_(cluster),
      callbacks_(std::move(callbacks)),
      scope_(clock),
      watch_(clock, store,
             {storage::kJobPrefix, leadership.job_view_interval(),
              settings.heartbeat_interval_s * kRetryDelayIntervals},
             {{},
              [this](const storage::WatchReply& reply, Seconds sent_at) {
                handle_changes(reply, sent_at);
              },
              [this](std::uint64_t revision) { handle_changes_lost(revision); }}) {}

void JobWatch::begin_term() {
  scope_.restart();
  watch_.stop();
  recovered_ = false;
  recovered_revision_ = 0;
  finished_.clear();
}

void JobWatch::end_term() {
  scope_.restart();
  watch_.stop();
  recovered_ = false;
}

void JobWatch::start() { watch_.start_after(recovered_revision_); }

void JobWatch::handle_changes(const storage::WatchReply& reply, Seconds requested_at) {
  for (const auto& event : reply.events) {
    if (!event.deleted) apply(job_id_from_key(event.key), event.data, event.revision);
  }
  std::erase_if(finished_, [this](const auto& entry) { return entry.second <= watch_.revision(); });
  leadership_.confirm_job_view(requested_at);
}

void JobWatch::handle_changes_lost(std::uint64_t revision) {
  leadership_.resign("job watch missed changes: the store no longer has those after revision " +
                     std::to_string(revision));
}

void JobWatch::apply(const storage::Entry& entry) {
  apply(job_id_from_key(entry.key), entry.data, entry.revision);
}

void JobWatch::apply(const std::string& id, const storage::Json& data, std::uint64_t revision) {
  if (const auto it = finished_.find(id); it != finished_.end() && revision < it->second) return;
  const Job* job = cluster_.job(id);
  if (job != nullptr && revision <= job->revision) return;
  try {
    apply_record(id, storage::decode_job(id, data), revision);
  } catch (const std::exception& error) {
    spdlog::error("job record invalid: job={} error=\"{}\"", id, error.what());
  }
}

void JobWatch::apply_record(const std::string& id, const storage::JobRecord& record,
                            std::uint64_t revision) {
  Job* job = cluster_.job(id);
  if (job == nullptr) {
    job = &cluster_.add_job(id, record, revision);
    cluster_.learn_arrival(*job);
    spdlog::debug("job added: job={} shape={} tasks={} class={} team={}", id,
                  protocol::shape_name(record.spec.shape), record.spec.tasks, record.spec.job_class,
                  record.spec.team);
  } else {
    job->revision = revision;
  }
  job->cancelled_by_peer = false;
  if (!recovered_) return;
  if (record.cancelled) {
    callbacks_.cancel_job(*job);
  } else {
    callbacks_.request_scheduling_cycle();
  }
}

bool JobWatch::apply_peer_cancellation(const std::string& id) {
  Job* job = cluster_.job(id);
  if (job == nullptr) return false;
  if (job->cancelled) return true;
  job->cancelled_by_peer = true;
  if (recovered_) {
    callbacks_.cancel_job(*job);
  } else {
    job->cancelled = true;
  }
  return true;
}

void JobWatch::refresh(const std::string& id) {
  store_.get(storage::job_key(id),
             scope_.wrap([this, id](Status status, const storage::Entry& entry) {
               handle_refresh_reply(id, status, entry);
             }));
}

void JobWatch::handle_refresh_reply(const std::string& id, Status status,
                                    const storage::Entry& entry) {
  if (status == Status::missing) {
    leadership_.resign("the record of job " + id +
                       ", which is known to this leader, is missing from the store");
    return;
  }
  if (status != Status::ok) {
    scope_.after(settings_.heartbeat_interval_s * kRetryDelayIntervals,
                 [this, id] { refresh(id); });
    return;
  }
  apply(id, entry.data, entry.revision);
  Job* job = cluster_.job(id);
  if (job == nullptr) return;
  job->write_in_flight = false;
  if (job->cancelled_by_peer) {
    // The stored record is authoritative, and it does not contain the cancellation.
    job->cancelled = false;
    job->cancelled_by_peer = false;
    callbacks_.request_scheduling_cycle();
  }
  callbacks_.persist(*job);
}

}  // namespace larkroad::coordination
