/// Writes the records of jobs: where their tasks are placed, and that a job has finished.
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

/// Makes the placements of the cluster durable before anything is sent to a worker.
///
/// Each transaction is guarded by the fencing token and by the revisions of the job's record and of
/// the placement shards that it changes. A job has one transaction under way at a time
/// (`Job::write_in_flight`); what changes meanwhile stays dirty and goes into the next one. Once
/// placements are durable, the writer hands their tasks on to be launched: those of a gang only all
/// together.
class PlacementWriter {
 public:
  /// What the writer tells the rest of the leader; all are called on the event loop's thread.
  struct Callbacks {
    /// The job's record is not what this leader knows. It is to be read again, after which
    /// `write_in_flight` ends and the job is persisted anew.
    std::function<void(const std::string& job)> refresh_job;
    /// The job has finished durably, at this revision, and is about to leave the cluster.
    std::function<void(const std::string& job, std::uint64_t revision)> job_finished;
    /// The placements of these tasks are durable.
    std::function<void(Job&, const std::vector<std::uint32_t>& tasks)> launch;
    /// A scheduling cycle may now find work or room.
    std::function<void()> request_plan;
  };

  PlacementWriter(transport::Clock& clock, storage::KeyValueClient& store, Leadership& leadership,
                  const Settings& settings, TransactionLimit& limit, ClusterState& cluster,
                  GarbageCollector& garbage, Callbacks callbacks);

  /// Forgets everything of an earlier term. Nothing is written before `start`.
  void begin_term();
  /// The state is recovered: records may be written from now on.
  void start() { started_ = true; }
  /// Answers and timers that are under way have no effect any more.
  void end_term();

  /// Writes what has changed of the job's records, or that the job has finished. May be called at
  /// any time: it does nothing while a transaction of the job is under way.
  void persist(Job& job);

  /// Rewrites the record of a job that was accepted under larger limits of the store, so that fewer
  /// tasks share a placement record. Only while none of its tasks is placed or done.
  void shrink_shards(Job& job);

 private:
  // What one transaction makes durable.
  struct Batch {
    std::vector<std::uint32_t> shards;
    std::vector<storage::PlacedTask> placed;
    std::vector<std::uint32_t> done;
  };

  storage::Transaction new_transaction(const Job& job) const;
  bool may_write() const { return started_ && leadership_.is_leader(); }
  static bool is_job_conflict(const std::string& id, const storage::CommitReply& reply);

  void add_dirty_shards(Job& job, storage::Transaction& transaction, Batch& batch);
  static void add_shard_contents(const Job& job, std::uint32_t shard, Batch& batch);
  void write_answered(const std::string& id, const Batch& batch, const storage::CommitReply& reply);
  void write_failed(Job& job, const Batch& batch, const storage::CommitReply& reply);
  void write_succeeded(Job& job, const Batch& batch, std::uint64_t revision);
  static std::vector<std::uint32_t> mark_persisted(Job& job,
                                                   const std::vector<storage::PlacedTask>& placed);
  static bool has_unpersisted_placements(const Job& job);
  static std::vector<std::uint32_t> gang_launches(const Job& job);

  void finish(Job& job);
  void finish_answered(const std::string& id, const std::vector<std::string>& remaining_keys,
                       const storage::CommitReply& reply);
  void finish_succeeded(Job& job, const std::vector<std::string>& remaining_keys,
                        std::uint64_t revision);

  void shrink_answered(const std::string& id, std::uint32_t tasks_per_shard,
                       const storage::CommitReply& reply);
  void handle_size_refusal(Job& job, const std::vector<std::uint32_t>& shards);
  void persist_after(Seconds delay, const std::string& id, bool ends_write);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  Leadership& leadership_;
  const Settings& settings_;
  TransactionLimit& limit_;
  ClusterState& cluster_;
  GarbageCollector& garbage_;
  Callbacks callbacks_;
  transport::CallbackScope scope_;  // of this term of leadership
  bool started_ = false;
};

}  // namespace larkroad::coordination
