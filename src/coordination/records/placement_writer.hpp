/// Writes the placement records of jobs and the records of finished jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/leadership.hpp"
#include "coordination/records/garbage_collector.hpp"
#include "coordination/records/transaction_limit.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::coordination {

/// Makes placements durable before their launches are sent to workers.
///
/// Each transaction has preconditions on the fencing token, on the revision of the job's record and
/// on the revisions of the placement shards that it changes. At most one transaction per job is in
/// flight (`Job::write_in_flight`); shards that change in the meantime stay dirty and are part of
/// the next one. Once placements are durable, the writer passes their tasks to `Callbacks::launch`;
/// the tasks of a gang are passed all at once.
class PlacementWriter {
 public:
  /// Notifications to the rest of the leader, called on the event loop's thread.
  struct Callbacks {
    /// The job's record may differ from this leader's copy. The callee reads it again, then clears
    /// `write_in_flight` and persists the job.
    std::function<void(const std::string& job)> refresh_job;
    /// The finished record is durable at this revision; the job is about to be removed.
    std::function<void(const std::string& job, std::uint64_t revision)> job_finished;
    /// The placements of these tasks are durable, and the tasks are to be launched.
    std::function<void(Job&, const std::vector<std::uint32_t>& tasks)> launch;
    /// Requests a scheduling cycle, as tasks may be waiting or capacity may have been freed.
    std::function<void()> request_scheduling_cycle;
  };

  PlacementWriter(transport::Clock& clock, storage::KeyValueClient& store, Leadership& leadership,
                  const Settings& settings, TransactionLimit& limit, ClusterState& cluster,
                  GarbageCollector& garbage_collector, Callbacks callbacks);

  /// Discards the state of the previous term. Nothing is written before `start`.
  void begin_term();
  /// Enables writing, once the state has been recovered.
  void start() { started_ = true; }
  /// Drops the callbacks of outstanding requests and timers.
  void end_term();

  /// Writes the job's changed placement records, or its finished record. May be called at any time:
  /// it does nothing while a transaction of the job is in flight.
  void persist(Job& job);

  /// Reduces the tasks per placement record of a job that was accepted under larger limits of the
  /// store. Does nothing once any of its tasks is placed or done.
  void shrink_shards(Job& job);

 private:
  // The shards, placements and completions that one transaction makes durable.
  struct Batch {
    std::vector<std::uint32_t> shards;
    std::vector<storage::PlacedTask> placed;
    std::vector<std::uint32_t> done;
  };

  storage::Transaction new_transaction(const Job& job) const;
  bool can_write() const { return started_ && leadership_.is_leader(); }
  static bool is_job_conflict(const std::string& id, const storage::CommitReply& reply);

  void add_dirty_shards(Job& job, storage::Transaction& transaction, Batch& batch);
  static void add_shard_contents(const Job& job, std::uint32_t shard, Batch& batch);
  void handle_write_reply(const std::string& id, const Batch& batch,
                          const storage::CommitReply& reply);
  void write_failed(Job& job, const Batch& batch, const storage::CommitReply& reply);
  void write_succeeded(Job& job, const Batch& batch, std::uint64_t revision);
  static std::vector<std::uint32_t> mark_persisted(Job& job,
                                                   const std::vector<storage::PlacedTask>& placed);
  static bool has_unpersisted_placements(const Job& job);
  static std::vector<std::uint32_t> gang_launches(const Job& job);

  void finish(Job& job);
  void handle_finish_reply(const std::string& id, const std::vector<std::string>& remaining_keys,
                           const storage::CommitReply& reply);
  void finish_succeeded(Job& job, const std::vector<std::string>& remaining_keys,
                        std::uint64_t revision);

  void handle_shrink_reply(const std::string& id, std::uint32_t tasks_per_shard,
                           const storage::CommitReply& reply);
  void handle_size_rejection(Job& job, const std::vector<std::uint32_t>& shards);
  void persist_after(Seconds delay, const std::string& id, bool clear_write_in_flight);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  Leadership& leadership_;
  const Settings& settings_;
  TransactionLimit& limit_;
  ClusterState& cluster_;
  GarbageCollector& garbage_collector_;
  Callbacks callbacks_;
  transport::CallbackScope scope_;  // the current term of leadership
  bool started_ = false;
};

}  // namespace larkroad::coordination
