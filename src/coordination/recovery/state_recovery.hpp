/// Recovers the cluster's state from the records when a controller becomes the leader.
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

/// What is known once all records have been read, beside what the cluster holds.
struct RecoveredState {
  std::map<std::string, storage::Images> images;  ///< by machine
  size_t placed_tasks = 0;
  Seconds jobs_requested_at = 0;  ///< the jobs are known as of this time
};

/// Reads the jobs, then the placements, then the images of machines, and puts the placements into
/// the cluster. Placement records of jobs that have finished go to the garbage collector. A
/// placement record that cannot be read ends the term: without it a task could run twice.
class StateRecovery {
 public:
  struct Callbacks {
    /// A job's record, in the order of the keys.
    std::function<void(const storage::Entry&)> apply_job;
    /// The first page of the jobs: changes after this revision are in the watch.
    std::function<void(std::uint64_t revision)> watch_from;
    /// All records have been read, and the cluster holds what they say.
    std::function<void(RecoveredState)> recovered;
  };

  StateRecovery(transport::Clock& clock, storage::KeyValueClient& store, Leadership& leadership,
                const Settings& settings, ClusterState& cluster, GarbageCollector& garbage,
                Callbacks callbacks);

  /// Begins to read, in a term of leadership that began at that time; ends what an earlier term was
  /// reading.
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
  GarbageCollector& garbage_;
  Callbacks callbacks_;
  PagedReader reader_;
  Seconds term_began_at_ = 0;
  std::uint64_t jobs_revision_ = 0;  // of the first page of the jobs; 0: not yet read
  std::vector<storage::Entry> placements_;
  RecoveredState state_;
};

}  // namespace larkroad::coordination
