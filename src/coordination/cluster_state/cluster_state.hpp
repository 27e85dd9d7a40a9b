// The leader's statistics of jobs, machines and placements, with the room and the quota they take.
// Plain data and arithmetic: no I/O, no clock of its own.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/job_messages.hpp"
#include "protocol/worker_messages.hpp"
#include "settings.hpp"
#include "storage/records.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using protocol::JobSpec;
using protocol::MachineType;
using protocol::TaskId;
using protocol::TaskState;
using transport::Seconds;

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& o);
  Resources& operator-=(const Resources& o);
  bool fits(const Resources& need) const;  // whether `need` fits into this
  // How many times `need` fits into this.
  std::uint32_t times(const Resources& need) const;
};
// The least of each resource by itself.
Resources least_of(const Resources& a, const Resources& b);
// One amount for each priority, the most important first.
inline constexpr size_t kPriorities = static_cast<size_t>(protocol::Priority::low) + 1;
using ResourcesByPriority = std::array<Resources, kPriorities>;

Resources needs_of(const JobSpec& spec);
Resources capacity_of(const MachineType& type);

// A task on a machine, from the moment the decision is made until it is proved to be gone.
struct Placement {
  enum class Stage {
    persisting,    // decided; its record is not yet durable, so nothing has been sent
    persisted,     // durable; nothing has been sent under this leader
    dispatched,    // sent; the worker has not yet been heard to hold it
    acknowledged,  // the worker reports it
  };
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string machine;
  std::uint64_t incarnation = 0;
  Stage stage = Stage::persisting;
  TaskState state = TaskState::fetching;  // when held
  // Found in the records of an earlier leader, and not heard of since. It may be long over: that
  // leader then used its room and its part of the limits for others.
  bool recovered = false;
  bool stopping = false;
  double grace_s = 0;
  Seconds stop_sent = -1;
  Seconds placed_at = 0;
  Seconds running_since = -1;
  bool proven = false;  // a service's replica that has run long enough to count as a success
};

// How often in a row a replica of a service has ended by itself, and when it may start again.
struct ReplicaRestarts {
  int ends = 0;
  Seconds retry_at = 0;
};

struct PlacementShard {
  std::uint64_t revision = 0;
  std::uint64_t attempt = 0;
  bool dirty = false;
  Seconds write_at = 0;  // when dirty: not before this
  void write(Seconds when) {
    write_at = dirty ? std::min(write_at, when) : when;
    dirty = true;
  }
};

// A job whose tasks fail on so many machines in a row, with none that succeeds, is itself at fault.
inline constexpr size_t kFailsEverywhere = 3;

struct Job {
  JobSpec spec;
  std::uint64_t revision = 0;
  double submitted_at = 0;  // time of day
  Seconds submitted = 0;    // the same, by the steady clock
  std::uint32_t tasks_per_shard = 1;
  bool cancelled = false;
  bool cancelled_by_peer = false;  // a peer has said so; the record has not been read since

  std::vector<bool> done;
  std::uint32_t done_count = 0;
  std::set<std::uint32_t> unpersisted_done;  // done, though not yet durably so
  std::map<std::uint32_t, Placement> placements;
  std::uint32_t next_never_placed = 0;  // tasks from here on have never been placed
  std::set<std::uint32_t> requeued;     // placed before, now to be placed again
  std::map<std::uint32_t, PlacementShard> shards;
  bool write_in_flight = false;  // a transaction on its records is under way

  // Gangs: the attempt its tasks share, and whether it has fallen apart and must end first.
  std::uint64_t gang_attempt = 0;
  bool gang_started = false;
  bool gang_aborting = false;

  Seconds retry_at = 0;  // not placed before this
  // Since a task of it last succeeded: failures in a row, and the machines that they were on.
  int failures = 0;
  std::set<std::string> failed_machines;
  // Machines on which a task of it got past its start, two at most; none since one failed later
  // than at its start. A job with a mistake fails at its start wherever it runs.
  std::set<std::string> started_machines;
  std::map<std::uint32_t, ReplicaRestarts> restarts;  // of a service, by replica
  Seconds replica_lost_at = -1;                       // when a service last lost a replica
  Seconds last_placed_at = -1;                        // of any of its tasks; see SchedulingCycle
  bool seen_running = false;
  bool aged = false;  // was placed as urgent work because it had waited long; see triage

  const std::string& id() const { return spec.id; }
  // It fails wherever it runs, as one that was submitted with a mistake does.
  bool fails_everywhere() const {
    return failed_machines.size() >= kFailsEverywhere && started_machines.empty();
  }
  // Whether a task of it got past its start on another machine.
  bool started_elsewhere_than(const std::string& machine) const;
  void note_start(const std::string& machine);
  // For the choice of what is stopped for others: what has aged would else be stopped at once for
  // the very work that it was placed before, again and again.
  protocol::Priority effective_priority() const {
    return aged ? std::min(spec.priority, protocol::Priority::high) : spec.priority;
  }
  // Whether tasks of it have succeeded, elsewhere than on this machine if it is a service.
  bool succeeds_elsewhere_than(const std::string& machine) const;
  std::uint32_t shard_of(std::uint32_t task) const { return task / tasks_per_shard; }
  std::uint32_t waiting() const;  // tasks that want a place
  bool is_finished() const;       // nothing is left to run or to stop
  std::uint32_t running() const;  // for display
};

// A direct launch that may still be carried out, late: until its answer, until the worker has seen
// a higher token, or until the worker has begun another session.
struct UnresolvedLaunch {
  std::uint64_t fencing_token = 0;
  bool pending = false;  // its answer may still come
  // Not 0: the launch is in the answer to the report of this tick, under way perhaps through a
  // relay. The worker's next report shows that the answer was carried out or dropped.
  std::uint64_t answer_to = 0;
};

struct Machine {
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  bool has_reported = false;  // has reported to this leader
  // What it reports is known to be no late copy: it has seen this leader's token, has answered
  // this leader directly, or was rented by it.
  bool identity_confirmed = false;
  // Since when it reports but nothing seems to reach it; -1: not so.
  Seconds unreachable_since = -1;
  Seconds inspected_at = -1;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t seen_fencing_token = 0;
  Seconds rented_at = 0;
  Seconds last_heartbeat_at =
      -1;  // the newest report, brought by the worker or as an answer to a call
  Seconds last_worker_heartbeat_at =
      -1;  // the newest that the worker brought; at first when it was first heard
  Seconds lease_renewed_at = -1;  // the last 200 that any leader may have given it
  Seconds listed_at = -1;
  Seconds known_to_exist_at = -1;       // it was there by then: rented, reporting, or in an earlier
                                        // leader's records
  std::optional<Seconds> reclaimed_at;  // from the spot notice
  bool lease_expired = false;           // its lease has run out unanswered; it must report anew
  Seconds lease_expired_at = -1;        // when that was found
  bool being_released = false;
  int retained_exits = 0;    // exited tasks that it may not forget yet, as of its last report
  bool quarantined = false;  // every task fails on it
  // Since a task last succeeded on it: failures of jobs that are not at fault, and of which jobs.
  int failures = 0;
  std::set<std::string> failed_jobs;
  int failed_starts = 0;      // in a row, of tasks of jobs that start elsewhere
  Seconds refused_until = 0;  // it said `full`: its room is not what it seems
  Seconds idle_since = 0;
  Resources capacity;
  Resources used;
  ResourcesByPriority used_by_priority{};
  std::set<TaskId> tasks;
  std::map<std::pair<TaskId, std::uint64_t>, UnresolvedLaunch>
      unresolved_launches;  // by task and attempt
  // Launches that this leader sent straight to the machine, and under which token. A late copy of
  // one is carried out until the worker has seen a higher token, once its task is forgotten there.
  std::map<std::pair<TaskId, std::uint64_t>, std::uint64_t> direct_launches;
  std::map<std::string, std::pair<double, Seconds>> images;  // size and last use, as guessed
  bool images_changed = false;                               // since they were recorded
  protocol::Heartbeat last_relayed_heartbeat;  // the last one in whole that came by way of a relay

  Resources room() const;
  // Whether work may be placed there. `patience`: how long it may be without bringing a report.
  bool usable(Seconds now, Seconds patience) const;
  void touch_image(const std::string& image, double gb, double cache_gb, Seconds now);
};

// What the jobs of a class have been like, with the latest counting most.
struct ClassStatistics {
  JobSpec latest;
  double tasks = 0;    // arrived, each weighted down with its age
  double squares = 0;  // the same of the squared sizes of the jobs, for their spread
  std::map<std::string, double> by_team;  // the same of the tasks of each team
  Seconds counted_at = 0;                 // the time to which all three are weighted
  double run_ratio = 1;                   // run time over the owners' estimates
  Seconds mean_run = 0;                   // of a task; 0: not known yet
};

class ClusterState {
 public:
  explicit ClusterState(const Settings& settings) : settings_(settings) {}
  void clear();
  // Time of day less steady time, by which times of day become steady ones.
  void set_day_offset(double offset) { day_offset_ = offset; }

  // Jobs.
  Job& add_job(const std::string& id, const storage::JobRecord& record, std::uint64_t revision);
  Job* job(const std::string& id);
  const Job* job(const std::string& id) const;
  void remove_job(const std::string& id);
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
  void restore_placements(Job& job, std::uint32_t shard, const storage::PlacementRecord& record,
                          std::uint64_t revision, std::uint64_t uncertain_fencing_token,
                          Seconds now);
  // Whether the job was accepted under larger limits of the state service, so that a record of its
  // placements may not hold all tasks of a shard.
  bool has_oversized_shards(const Job& job) const;
  // What the shard's record may still grow by.
  size_t record_bytes_left(const Job& job, std::uint32_t shard) const;
  storage::PlacementRecord placement_record(const Job& job, std::uint32_t shard) const;

  // Machines.
  Machine& machine(const std::string& name);  // made when unknown
  Machine* find_machine(const std::string& name);
  const Machine* find_machine(const std::string& name) const;
  void remove_machine(const std::string& name);
  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  void set_type(Machine& machine, const std::string& type);

  // Placements. Room and quota are taken from `place` until `unplace` or `finish`.
  Placement& place(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt,
                   Seconds now);
  // The task is proved gone without having completed; it wants a place again.
  void unplace(Job& job, std::uint32_t task, Seconds now);
  void finish(Job& job, std::uint32_t task, Seconds now);

  // Teams.
  Resources used_by(const std::string& team) const;

  // Machine types.
  void set_types(std::vector<MachineType> types);
  const std::vector<MachineType>& types() const { return types_; }
  const MachineType* type(const std::string& name) const;

  // How long a task of the job is expected to run: its owner's estimate, corrected by what the
  // tasks of its class have shown.
  Seconds expected_run(const JobSpec& spec) const;
  void learn_run(const JobSpec& spec, Seconds took);
  void learn_arrival(const Job& job);
  const std::map<std::string, ClassStatistics>& classes() const { return classes_; }
  // Tasks of the class that arrive in a second.
  double arrival_rate(const ClassStatistics& statistics, Seconds now) const;
  // The time over which arrivals are counted.
  Seconds memory_s() const;

  const Settings& settings() const { return settings_; }

 private:
  // Marks the tasks of these ranges as done, as far as they lie before `end`.
  static void load_done(Job& job, const std::vector<storage::TaskRange>& ranges, std::uint32_t end);
  void release(Job& job, std::uint32_t task, Seconds now);

  const Settings& settings_;
  double day_offset_ = 0;
  std::map<std::string, ClassStatistics> classes_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Resources> used_;  // by team
  std::vector<MachineType> types_;
};

// How long a machine of this type fetches the job's image, with the network to itself.
Seconds fetch_time(const JobSpec& spec, const MachineType& type);

// How soon a task of the job can run on a machine that has nothing of it: one that is up, or one
// that has to boot first; negative when no type takes it.
Seconds soonest_start(const ClusterState& cluster, const JobSpec& spec, bool boots);

// Whether a machine of this type, zone and kind may run the job's tasks at all.
bool allows(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot);

}  // namespace larkroad::coordination
