/// Keeps the jobs in the cluster state in sync with their records in the key-value store.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/leadership.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/prefix_watch.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::coordination {

/// Applies job records to the cluster state: those read during recovery, those delivered by the
/// key-value store's watch, and those read again on request. Each watch reply confirms to the
/// election that the leader's view of the jobs is up to date.
///
/// An older record never replaces a newer one, regardless of how it was received. A watch that lags
/// behind does not bring back a job that this leader has finished.
class JobWatch {
 public:
  /// Notifications to the rest of the leader; all are called on the event loop thread.
  struct Callbacks {
    std::function<void(Job&)> cancel_job;
    std::function<void(Job&)> persist;
    /// Requests a scheduling cycle, as it may find work.
    std::function<void()> request_scheduling_cycle;
  };

  JobWatch(transport::Clock& clock, storage::KeyValueClient& store, Leadership& leadership,
           const Settings& settings, ClusterState& cluster, Callbacks callbacks);

  /// Discards all state of an earlier term. Until `set_recovered`, jobs are only added to the
  /// cluster state and no callback is called.
  void begin_term();
  /// Ends the term; outstanding replies and timers are ignored.
  void end_term();
  /// Sets the revision after which the watch reports changes.
  void watch_from(std::uint64_t revision) { recovered_revision_ = revision; }
  /// Marks the state as recovered; from now on changes cause callbacks.
  void set_recovered() { recovered_ = true; }
  /// Starts the watch.
  void start();

  /// Applies the record of a job to the cluster state, unless a newer one is known.
  void apply(const std::string& id, const storage::Json& data, std::uint64_t revision);
  /// Applies a job record as read from the store.
  void apply(const storage::Entry& entry);
  /// Reads the record of a job again, then clears its `write_in_flight` and persists it.
  void refresh(const std::string& id);
  /// Records that this leader finished the job at this revision.
  void job_finished(const std::string& id, std::uint64_t revision) { finished_[id] = revision; }
  /// Applies a durable cancellation announced by the peer that wrote it. The watch delivers it too,
  /// but possibly late, and a leader whose requests the store rejects would not learn of it in
  /// time. Returns false if the job is unknown.
  bool apply_peer_cancellation(const std::string& id);

 private:
  void handle_changes(const storage::WatchReply& reply, Seconds requested_at);
  void handle_changes_lost(std::uint64_t revision);
  void handle_refresh_reply(const std::string& id, storage::Status status,
                            const storage::Entry& entry);
  void apply_record(const std::string& id, const storage::JobRecord& record,
                    std::uint64_t revision);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  Leadership& leadership_;
  const Settings& settings_;
  ClusterState& cluster_;
  Callbacks callbacks_;
  transport::CallbackScope scope_;  // ends with the term of leadership
  bool recovered_ = false;
  std::uint64_t recovered_revision_ = 0;  // changes up to this revision were read by the recovery
  // The revisions at which this leader finished jobs, by job.
  std::map<std::string, std::uint64_t> finished_;
  storage::PrefixWatch watch_;
};

}  // namespace larkroad::coordination
