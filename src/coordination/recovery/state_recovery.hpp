/// Rebuilds the cluster state from the stored records when a controller becomes the leader.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/leadership.hpp"
#include "coordination/records/garbage_collector.hpp"
#include "coordination/recovery/paged_reader.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {

/// Result of the recovery that is not part of the cluster state.
struct RecoveredState {
  std::map<std::string, storage::Images> images;  ///< by machine
  size_t placed_tasks = 0;
  Seconds jobs_requested_at = 0;  ///< the view of the jobs is valid as of this time
};

/// Reads the jobs, then the placements, then the cached images of machines, and adds the placements
/// to the cluster state. Placement records of finished jobs are passed to the garbage collector. An
/// invalid placement record ends the term, as ignoring it could make a task run twice.
class StateRecovery {
 public:
  struct Callbacks {
    /// Called for each job record, in key order.
    std::function<void(const storage::Entry&)> apply_job;
    /// Called with the revision of the first page of jobs; the watch must report later changes.
    std::function<void(std::uint64_t revision)> watch_from;
    /// Called when all records have been read and applied to the cluster state.
    std::function<void(RecoveredState)> recovered;
  };

  StateRecovery(transport::Clock& clock, storage::KeyValueClient& store, Leadership& leadership,
                const Settings& settings, ClusterState& cluster,
                GarbageCollector& garbage_collector, Callbacks callbacks);

  /// Starts reading for a term of leadership that began at `term_began_at`; cancels the reads of an
  /// earlier term.
  void start(Seconds term_began_at);
  void end_term() { reader_.cancel(); }

 private:
  void read_jobs();
  void read_placements();
  void read_images();
  void apply_jobs(const PagedReader::Page& page);
  void apply_images(const storage::Entry& entry);
  void finish();
  bool restore_placements();
  void restore_placement(Job& job, std::uint32_t shard, const storage::Entry& entry, Seconds now);
  void restore_machines();
  void restore_gangs();

  transport::Clock& clock_;
  Leadership& leadership_;
  ClusterState& cluster_;
  GarbageCollector& garbage_collector_;
  Callbacks callbacks_;
  PagedReader reader_;
  Seconds term_began_at_ = 0;
  std::uint64_t jobs_revision_ = 0;  // of the first page of jobs; 0: not read yet
  std::vector<storage::Entry> placement_entries_;
  RecoveredState recovered_state_;
};

}  // namespace larkroad::coordination
