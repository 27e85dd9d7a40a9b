#include "coordination/scheduling/job_queue.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string_view>
#include <tuple>

#include "coordination/scheduling/replica_migration.hpp"

namespace larkroad::coordination {
namespace {

// More important work of a team is taken to leave the rest at least this part of its room.
constexpr double kLeastRoom = 0.1;
// The remaining times of a job's tasks are told apart by this part of its run.
constexpr size_t kEndSteps = 16;
// What has no aim comes after all that can still meet one, and before what can meet none any more.
constexpr int kNoAimRank = 500;
constexpr int kLateRank = 1000;
// Sums of parts are compared with this much leeway.
constexpr double kRounding = 1e-9;
// A job that has not begun after these parts of its time rises, and becomes urgent. Its time is the
// bound less what its image takes to arrive, though no less than this part of the bound. Rising
// early costs others: in a burst that lasts, all room would go to what has waited for longest.
constexpr double kLeastTime = 1.0 / 2;
constexpr double kRisesAfter = 3.0 / 4;
constexpr double kUrgentAfter = 5.0 / 6;

struct Candidate {
  Job* job;
  double size;           // of its waiting tasks, in parts of the fleet
  double size_of_limit;  // the same of its team's limit
  Seconds run;           // of one task
  std::vector<Seconds> due;
  size_t stage = 0;       // the due time it is held to at present
  Seconds sort_time = 0;  // orders the jobs of a rank
  int rank = kNoAimRank;  // the smaller, the earlier
  Aging rise = Aging::none;
  Seconds start_by() const { return due[stage] - run; }
};

// Machines of one type, zone and kind, taken together.
struct Pool {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double machines = 0;
  Resources all;
  ResourcesByPriority used{};
};

// What the fleet can run at once, as far as work of a priority finds it.
class Capacity {
 public:
  explicit Capacity(const ClusterState& cluster) : cluster_(cluster) {
    std::map<std::tuple<const MachineType*, std::string, bool>, size_t> known;
    for (const auto& [name, machine] : cluster.machines()) {
      const MachineType* type = cluster.type(machine.type);
      if (type == nullptr || machine.being_released || machine.lease_expired || machine.quarantined)
        continue;
      const auto [at, made] = known.try_emplace({type, machine.zone, machine.spot}, pools_.size());
      if (made) pools_.push_back({type, machine.zone, machine.spot, 0, {}, {}});
      Pool& pool = pools_[at->second];
      pool.machines += 1;
      pool.all += machine.capacity;
      for (size_t i = 0; i < machine.used_by_priority.size(); ++i) {
        pool.used[i] += machine.used_by_priority[i];
      }
    }
  }

  // How many tasks of this kind fit beside more important work. Counted by whole tasks on whole
  // machines: what a machine has in plenty is of no use where something else is short.
  double slots(const JobSpec& spec) const {
    const Resources need = needs_of(spec);
    double all = 0;
    double left = 0;
    for (const Pool& pool : pools_) {
      if (!allows(spec, *pool.type, pool.zone, pool.spot)) continue;
      const double whole = pool.machines * capacity_of(*pool.type).times(need);
      Resources room = pool.all;
      for (size_t i = 0; i < static_cast<size_t>(spec.priority); ++i) room -= pool.used[i];
      all += whole;
      left += std::min<double>(whole, room.times(need));
    }
    return std::max(left, all * kLeastRoom);
  }

  // The part of the fleet that one task takes, and the part of its team's limit.
  double part_of_fleet(const JobSpec& spec) const {
    const double slots_there = slots(spec);
    return slots_there > 1 ? 1 / slots_there : 1;
  }
  double part_of_limit(const JobSpec& spec) const {
    const TeamSettings* team = cluster_.settings().team(spec.team);
    if (team == nullptr) return 1;
    double part = 0;
    if (team->cpus_max > 0) part = std::max(part, spec.cpus / team->cpus_max);
    if (team->gpus_max > 0) part = std::max(part, spec.gpus / team->gpus_max);
    return std::min(part, 1.0);
  }
  bool known() const { return !pools_.empty(); }

 private:
  const ClusterState& cluster_;
  std::vector<Pool> pools_;
};

// When a room that tasks share comes free: at once what nobody uses, the rest as its tasks end, and
// all of it again whenever what is started then has run.
class Openings {
 public:
  // A task that takes `part` of the room for another `left` seconds; its like run for `run`.
  void add(double part, Seconds left, Seconds run) {
    used_ += part;
    ends_.push_back({left, part, part / std::max(run, 1e-3)});
  }
  // To be called once all tasks are known. `run`: of what may use the room that is free.
  void sum_up(Seconds run) {
    const double free = std::max(0.0, 1 - used_);
    ends_.push_back({0, free, free / std::max(run, 1e-3)});
    std::sort(ends_.begin(), ends_.end(),
              [](const End& a, const End& b) { return a.left < b.left; });
    double part = 0;
    double rate = 0;
    double before = 0;
    for (End& end : ends_) {
      part += end.part;
      rate += end.rate;
      before += end.rate * end.left;
      sums_.push_back({part, rate, before});
    }
  }
  // How much can be started within this time, in parts of the room.
  double within(Seconds time) const {
    const auto it = std::upper_bound(ends_.begin(), ends_.end(), time,
                                     [](Seconds t, const End& end) { return t < end.left; });
    if (it == ends_.begin()) return 0;
    const Sum& sum = sums_[static_cast<size_t>(it - ends_.begin()) - 1];
    return sum.part + sum.rate * time - sum.before;
  }

 private:
  struct End {
    Seconds left;
    double part;
    double rate;  // what it opens again and again, by the second
  };
  struct Sum {
    double part, rate, before;
  };
  double used_ = 0;
  std::vector<End> ends_;
  std::vector<Sum> sums_;
};

// The room that jobs of a priority share, and what of it has been promised so far: the fleet, for
// all teams, and each team's limit.
struct Shared {
  Openings fleet;
  std::map<std::string, Openings> limits;
  double promised = 0;
  std::map<std::string, double> promised_of_limit;
};

// Adds the job's live tasks to the room that they take. Tasks that end at about the same time are
// taken together: a round then costs by jobs, not by the thousands of tasks of a large array.
void add_live_tasks(const Job& job, Seconds now, Seconds running, Seconds run, double of_fleet,
                    double of_limit, std::map<protocol::Priority, Shared>& shared) {
  if (job.placements.empty()) return;
  std::array<double, kEndSteps + 1> ends{};
  for (const auto& [task, p] : job.placements) {
    const Seconds left =
        p.running_since < 0 ? run : std::max(running - (now - p.running_since), running / 4);
    const double step = run > 0 ? std::clamp(left / run, 0.0, 1.0) * kEndSteps : 0;
    ends[static_cast<size_t>(std::lround(step))] += 1;
  }
  const auto lowest = static_cast<int>(protocol::Priority::low);
  for (size_t step = 0; step < ends.size(); ++step) {
    if (ends[step] <= 0) continue;
    const Seconds left = run * static_cast<double>(step) / kEndSteps;
    shared[job.spec.priority].fleet.add(of_fleet * ends[step], left, run);
    // A team's limit is shared with its more important work.
    for (int rank = static_cast<int>(job.spec.priority); rank <= lowest; ++rank) {
      shared[static_cast<protocol::Priority>(rank)].limits[job.spec.team].add(of_limit * ends[step],
                                                                              left, run);
    }
  }
}

// The jobs kept in time so far, by how much they take of the fleet and of their team's limit.
class Kept {
 public:
  void insert(Candidate* c) {
    by_size_.insert(entry(c->size, c));
    by_limit_[c->job->spec.team].insert(entry(c->size_of_limit, c));
  }
  void erase(Candidate* c) {
    by_size_.erase(entry(c->size, c));
    by_limit_[c->job->spec.team].erase(entry(c->size_of_limit, c));
  }
  Candidate* largest() const { return std::get<Candidate*>(*by_size_.rbegin()); }
  Candidate* largest_of(const std::string& team) const {
    return std::get<Candidate*>(*by_limit_.at(team).rbegin());
  }
  template <typename Fn>
  void for_each(Fn fn) const {
    for (const auto& kept : by_size_) fn(std::get<Candidate*>(kept));
  }

 private:
  using Entry = std::tuple<double, std::string_view, Candidate*>;
  static Entry entry(double weight, Candidate* c) { return {weight, c->job->id(), c}; }
  std::set<Entry> by_size_;
  std::map<std::string, std::set<Entry>> by_limit_;
};

// Of the jobs that are to start by their times, keeps as many as can, in the way of Moore and
// Hodgson: in order of those times, and whenever one would be late, the largest so far is given up.
// What is given up is left for its next time, or for the end.
void keep_in_time(std::vector<Candidate*>& jobs, Seconds now, Shared& shared, int rank,
                  std::vector<Candidate*>& given_up) {
  std::sort(jobs.begin(), jobs.end(), [](const Candidate* a, const Candidate* b) {
    const Seconds x = a->start_by();
    const Seconds y = b->start_by();
    return x != y ? x < y : a->job->id() < b->job->id();
  });
  Kept kept;
  for (Candidate* c : jobs) {
    const std::string& team = c->job->spec.team;
    kept.insert(c);
    shared.promised += c->size;
    double& of_limit = shared.promised_of_limit[team];
    of_limit += c->size_of_limit;
    const Seconds time = c->start_by() - now;
    const bool limit_full = of_limit > shared.limits[team].within(time) + kRounding;
    if (!limit_full && shared.promised <= shared.fleet.within(time) + kRounding) continue;
    // Where the team's limit is short, only its own jobs can make way.
    Candidate* largest = limit_full ? kept.largest_of(team) : kept.largest();
    shared.promised -= largest->size;
    shared.promised_of_limit[largest->job->spec.team] -= largest->size_of_limit;
    given_up.push_back(largest);
    kept.erase(largest);
  }
  kept.for_each([rank](Candidate* c) {
    c->rank = rank;
    c->sort_time = c->due[c->stage];
  });
}

// What comes first: priority, those with a guarantee before guests, rank, within the guarantee
// before beyond it, time.
using OrderKey = std::tuple<protocol::Priority, bool, int, bool, Seconds>;

OrderKey order_key(const Candidate& c, bool guest, bool guaranteed) {
  const Job& job = *c.job;
  if (c.rise == Aging::none) return {job.spec.priority, guest, c.rank, !guaranteed, c.sort_time};
  const auto priority = c.rise == Aging::urgent
                            ? std::min(job.spec.priority, protocol::Priority::high)
                            : job.spec.priority;
  return {priority, false, 0, false, job.submitted};
}

}  // namespace

std::vector<Seconds> due_times(const ClusterState& cluster, const Job& job) {
  std::vector<Seconds> out;
  for (const auto& aim : cluster.settings().objectives) {
    if (!aim.job_class.empty() && aim.job_class != job.spec.job_class) continue;
    if (aim.kind == "deadline" && job.spec.deadline_s) {
      out.push_back(job.submitted + *job.spec.deadline_s * aim.times);
    } else if (aim.kind == "finished" && !job.spec.is_service()) {
      out.push_back(job.submitted + aim.within_s);
    } else if (aim.kind == "wait" && !job.seen_running) {
      out.push_back(job.submitted + aim.within_s + cluster.expected_run(job.spec));
    } else if (aim.kind == "up") {
      const Seconds wanted_since = std::max(job.submitted, job.replica_lost_at);
      out.push_back(wanted_since + aim.after_s + cluster.expected_run(job.spec));
    }
  }
  if (out.empty() && job.spec.deadline_s) out.push_back(job.submitted + *job.spec.deadline_s);
  std::sort(out.begin(), out.end());
  return out;
}

std::optional<Resources> least_need(const ClusterState& cluster) {
  std::optional<Resources> out;
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->waiting() == 0) continue;
    const Resources need = needs_of(job->spec);
    out = out ? least_of(*out, need) : need;
  }
  for (const ReplicaMigration& move : replicas_to_migrate(cluster)) {
    const Resources need = needs_of(cluster.job(move.job)->spec);
    out = out ? least_of(*out, need) : need;
  }
  return out;
}

bool is_guest(const Settings& settings, const std::string& team) {
  const TeamSettings* known = settings.team(team);
  return known == nullptr || (known->cpus <= 0 && known->gpus <= 0);
}

std::set<std::string> within_guarantee(const ClusterState& cluster) {
  std::map<std::string, std::vector<const Job*>> by_team;
  for (const auto& [id, job] : cluster.jobs()) {
    if (!job->is_finished()) by_team[job->spec.team].push_back(job.get());
  }
  std::set<std::string> out;
  for (auto& [name, jobs] : by_team) {
    const TeamSettings* team = cluster.settings().team(name);
    if (team == nullptr) continue;
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
      return std::tie(a->submitted_at, a->id()) < std::tie(b->submitted_at, b->id());
    });
    Resources sum;
    const Resources guarantee{team->cpus, team->gpus, 1e12};
    for (const Job* job : jobs) {
      sum.cpus += job->spec.cpus * job->spec.tasks;
      sum.gpus += job->spec.gpus * job->spec.tasks;
      if (guarantee.fits(sum)) out.insert(job->id());
    }
  }
  return out;
}

Aging aging_of(const ClusterState& cluster, const Job& job, Seconds now, Seconds start_bound) {
  if (start_bound <= 0 || job.seen_running) return Aging::none;
  Seconds fetch = 0;
  for (const auto& type : cluster.types()) {
    for (const auto& zone : type.zones) {
      if (allows(job.spec, type, zone, job.spec.spot)) {
        fetch = std::max(fetch, fetch_time(job.spec, type));
      }
    }
  }
  const Seconds time = std::max(start_bound - fetch, start_bound * kLeastTime);
  const Seconds waited = now - job.submitted;
  if (waited > time * kUrgentAfter) return Aging::urgent;
  return waited > time * kRisesAfter ? Aging::first_of_its_priority : Aging::none;
}

std::vector<Job*> order_jobs(ClusterState& cluster, Seconds now, Seconds start_bound) {
  const auto guaranteed = within_guarantee(cluster);
  const Capacity capacity(cluster);
  std::map<protocol::Priority, Shared> shared;
  std::vector<Candidate> all;
  std::map<protocol::Priority, std::pair<Seconds, double>> runs;  // summed, and how many
  for (const auto& [id, job] : cluster.jobs()) {
    const bool waits = job->waiting() > 0;
    if (job->placements.empty() && !waits) continue;
    // A place is taken from the fetch of the image on.
    const Seconds running = cluster.expected_run(job->spec);
    const Seconds run =
        running +
        shortest_start_time(cluster.types(), job->spec, StartsOn::running_machine).value_or(0);
    // Before any machine is known the team's limit alone tells.
    const double of_limit = capacity.part_of_limit(job->spec);
    const double of_fleet = capacity.known() ? capacity.part_of_fleet(job->spec) : of_limit;
    add_live_tasks(*job, now, running, run, of_fleet, of_limit, shared);
    if (!waits) continue;
    auto& [sum, count] = runs[job->spec.priority];
    sum += run * job->waiting();
    count += job->waiting();
    all.push_back({job.get(), of_fleet * job->waiting(), of_limit * job->waiting(), run,
                   due_times(cluster, *job), 0, job->submitted, kNoAimRank,
                   aging_of(cluster, *job, now, start_bound)});
    shared[job->spec.priority].limits[job->spec.team];  // there, though nothing of it runs
  }
  for (auto& [priority, room] : shared) {
    const auto& [sum, count] = runs[priority];
    const Seconds run = count > 0 ? sum / count : 0;
    room.fleet.sum_up(run);
    for (auto& [team, limit] : room.limits) limit.sum_up(run);
  }
  std::map<protocol::Priority, std::vector<Candidate*>> groups;
  for (Candidate& c : all) {
    if (!c.due.empty()) groups[c.job->spec.priority].push_back(&c);
  }
  for (auto& [priority, group] : groups) {
    int rank = 1;
    std::vector<Candidate*> rest = group;
    while (!rest.empty()) {
      std::vector<Candidate*> hopeful;
      std::vector<Candidate*> over;
      for (Candidate* c : rest) {
        while (c->stage < c->due.size() && now > c->start_by()) ++c->stage;
        (c->stage < c->due.size() ? hopeful : over).push_back(c);
      }
      for (Candidate* c : over) {
        // Late whatever is done: the least work first, so that the fewest wait.
        c->rank = kLateRank;
        c->sort_time = c->size * c->run;
      }
      std::vector<Candidate*> given_up;
      keep_in_time(hopeful, now, shared[priority], rank++, given_up);
      for (Candidate* c : given_up) ++c->stage;
      rest = std::move(given_up);
    }
  }
  std::vector<std::pair<OrderKey, Job*>> order;
  order.reserve(all.size());
  for (const Candidate& c : all) {
    const bool guest = is_guest(cluster.settings(), c.job->spec.team);
    order.emplace_back(order_key(c, guest, guaranteed.contains(c.job->id())), c.job);
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->id() < b.second->id();
  });
  std::vector<Job*> out;
  out.reserve(order.size());
  for (const auto& [key, job] : order) out.push_back(job);
  return out;
}

}  // namespace larkroad::coordination
