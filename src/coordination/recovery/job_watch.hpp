/// Keeps the jobs of the cluster the same as their records.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/leadership.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::coordination {

/// Applies the records of jobs: as they are recovered, as the key-value store's watch brings them,
/// and when one has to be read again. Each answer of the watch proves to the election that the
/// leader's view of the jobs is fresh.
///
/// An older record never replaces a newer one, whatever way it comes; a job that this leader has
/// finished does not come back by a watch that is behind.
class JobWatch {
 public:
  /// What the watch tells the rest of the leader; all are called on the event loop's thread.
  struct Callbacks {
    std::function<void(Job&)> cancel_job;
    std::function<void(Job&)> persist;
    /// A scheduling cycle may now find work.
    std::function<void()> request_plan;
  };

  JobWatch(transport::Clock& clock, storage::KeyValueClient& store, Leadership& leadership,
           const Settings& settings, ClusterState& cluster, Callbacks callbacks);

  /// Forgets everything of an earlier term. Until `start`, jobs are only entered into the cluster,
  /// without a callback.
  void begin_term();
  /// Answers and timers that are under way have no effect any more.
  void end_term();
  /// The watch is to bring what changes after this revision.
  void watch_from(std::uint64_t revision) { watched_to_ = revision; }
  /// The state is recovered: changes have their effects from now on.
  void set_recovered() { recovered_ = true; }
  /// Begins to watch.
  void start() { watch(); }

  /// Enters the record of a job into the cluster, unless a newer one is known.
  void apply(const std::string& id, const storage::Json& data, std::uint64_t revision);
  /// The same, for a record as it was read from the store.
  void apply(const storage::Entry& entry);
  /// Reads the record of a job again, after which its `write_in_flight` ends and it is persisted.
  void refresh(const std::string& id);
  /// This leader has finished the job at this revision.
  void job_finished(const std::string& id, std::uint64_t revision) { finished_[id] = revision; }
  /// A durable cancellation, as told by the peer that made it so: the watch will bring it too, but
  /// that may take long, and a leader that the store refuses would not learn of it in time. False
  /// when the job is not known.
  bool cancelled_by_peer(const std::string& id);

 private:
  void watch();
  void watch_answered(Seconds requested_at, const storage::WatchReply& reply);
  void refresh_answered(const std::string& id, storage::Status status, const storage::Entry& entry);
  void apply_record(const std::string& id, const storage::JobRecord& record,
                    std::uint64_t revision);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  Leadership& leadership_;
  const Settings& settings_;
  ClusterState& cluster_;
  Callbacks callbacks_;
  transport::CallbackScope scope_;  // of this term of leadership
  bool recovered_ = false;
  std::uint64_t watched_to_ = 0;                   // revision
  std::map<std::string, std::uint64_t> finished_;  // by this leader, and at which revision
};

}  // namespace larkroad::coordination
