#include "coordination/planner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "coordination/forecast.hpp"

namespace larkroad::coordination {
namespace {

// The part of all room for a class that may be kept for what may come of it.
constexpr double kReserveMost = 0.5;
// What it costs to take room from a more important class, in reports.
constexpr double kDisplacedReports = 1;

// A machine with its room in this round, less what others hold.
struct Slot {
  Machine* machine;
  Resources room;
};

// Room kept for what may come of a more important class.
struct Reserve {
  const JobSpec* spec;
  double missing;  // tasks that are to find room
  double fits;     // tasks that find room at present
  std::map<std::string, double> missing_by_team;
};

// What placing a task here costs, in seconds of somebody's time.
double cost(const Job& job, const Slot& slot, const Ledger& ledger) {
  const MachineType* type = ledger.type(slot.machine->type);
  double out = 0;
  if (!slot.machine->images.contains(job.spec.image) && type != nullptr) {
    out += fetch_time(job.spec, *type);
  }
  if (job.spec.gpus == 0 && slot.machine->capacity.gpus > 0) {
    // Work that needs no GPU leaves the machines that have some to work that does, unless it
    // would wait for its image elsewhere.
    out += ledger.settings().report_s;
  }
  // Best fit: the less room remains, the better the rest of the fleet can take large tasks.
  Resources rest = slot.room;
  rest -= needs_of(job.spec);
  const auto part = [](double left, double all) { return all > 0 ? left / all : 0; };
  const Resources& all = slot.machine->capacity;
  return out + (part(rest.cpus, all.cpus) + part(rest.memory_gb, all.memory_gb)) / 2;
}

class Round {
 public:
  Round(Ledger& ledger, Holds& holds, Seconds now, const PlanLimits& limits)
      : ledger_(ledger), holds_(holds), now_(now), limits_(limits) {
    for (auto& [name, machine] : ledger_.machines()) {
      if (!machine.usable(now)) continue;
      Resources room = machine.room();
      for (const auto& [job, hold] : holds_.all()) {
        const auto held = hold.tasks.find(name);
        if (held == hold.tasks.end()) continue;
        for (std::uint32_t i = 0; i < held->second; ++i) room -= hold.each;
      }
      slots_.push_back({&machine, room});
    }
    for (const auto& f : forecast(ledger_, now_)) {
      Reserve reserve{f.spec, f.missing(), 0, {}};
      double most = 0;
      for (const Slot& slot : slots_) {
        reserve.fits += fits(*f.spec, slot, slot.room);
        most += fits(*f.spec, slot, slot.machine->capacity);
      }
      // However much may come, the less important work keeps its part of the machines.
      reserve.missing = std::min(reserve.missing, most * kReserveMost);
      for (const auto& [team, wanted] : f.wanted_by_team) {
        const auto there = f.present_by_team.find(team);
        reserve.missing_by_team[team] =
            std::max(0.0, wanted - (there == f.present_by_team.end() ? 0 : there->second));
      }
      reserves_.push_back(std::move(reserve));
    }
  }

  Plan run() {
    Plan out;
    const auto jobs = order_of_work(ledger_, now_);
    for (size_t i = limits_.start_at; i < jobs.size(); ++i) {
      if (i > limits_.start_at && limits_.out_of_time()) {
        out.stopped_at = i;
        break;
      }
      Job* job = jobs[i];
      if (job->busy || now_ < job->retry_at) continue;
      const std::uint32_t quota = quota_room(*job);
      if (quota == 0) {
        unplaced(*job, out);
        continue;
      }
      Assignment assignment{job->id(), {}};
      if (job->spec.gang) {
        place_gang(*job, quota, assignment);
      } else {
        const auto tasks = waiting_tasks(*job, quota);
        for (const auto& [slot, task] : choose(*job, tasks)) {
          assignment.tasks.emplace_back(task, slot->machine->name);
        }
      }
      if (assignment.tasks.empty()) {
        unplaced(*job, out);
        continue;
      }
      Resources& taken = taken_[job->spec.team];
      for (size_t i = 0; i < assignment.tasks.size(); ++i) taken += needs_of(job->spec);
      out.assignments.push_back(std::move(assignment));
    }
    return out;
  }

 private:
  using Choice = std::vector<std::pair<Slot*, std::uint32_t>>;

  std::uint32_t quota_room(const Job& job) const {
    const TeamSettings* team = ledger_.settings().team(job.spec.team);
    if (team == nullptr) return 0;
    Resources used = ledger_.used_by(job.spec.team);
    const auto it = taken_.find(job.spec.team);
    if (it != taken_.end()) used += it->second;
    const auto claimed = claimed_.find(job.spec.team);
    if (claimed != claimed_.end()) used += claimed->second;
    // What may come of the team's more important work keeps its part of the limit.
    for (const Reserve& reserve : reserves_) {
      if (reserve.spec->priority >= job.spec.priority) continue;
      const auto missing = reserve.missing_by_team.find(job.spec.team);
      if (missing == reserve.missing_by_team.end()) continue;
      used.cpus += missing->second * reserve.spec->cpus;
      used.gpus += missing->second * reserve.spec->gpus;
    }
    const Resources left{team->cpus_max - used.cpus, team->gpus_max - used.gpus, 1e12};
    return left.times({job.spec.cpus, job.spec.gpus, 0});
  }

  // How many tasks of this kind the room of a slot's machine takes.
  double fits(const JobSpec& spec, const Slot& slot, const Resources& room) const {
    const MachineType* type = ledger_.type(slot.machine->type);
    if (type == nullptr || !allows(spec, *type, slot.machine->zone, slot.machine->spot)) return 0;
    return room.times(needs_of(spec));
  }

  // How much room for more important classes a task of this job would take on this slot; negative
  // when what is left would be less than what may come.
  double displaced(const Job& job, const Slot& slot) const {
    double out = 0;
    for (const Reserve& reserve : reserves_) {
      if (reserve.spec->priority >= job.spec.priority) continue;
      Resources rest = slot.room;
      rest -= needs_of(job.spec);
      const double loss = fits(*reserve.spec, slot, slot.room) - fits(*reserve.spec, slot, rest);
      if (loss > 0 && reserve.fits - loss < reserve.missing) return -1;
      out += loss;
    }
    return out;
  }

  void take(const Job& job, Slot& slot) {
    for (Reserve& reserve : reserves_) {
      const double before = fits(*reserve.spec, slot, slot.room);
      Resources rest = slot.room;
      rest -= needs_of(job.spec);
      reserve.fits -= before - fits(*reserve.spec, slot, rest);
    }
    slot.room -= needs_of(job.spec);
  }

  bool pressed(const Job& job) const {
    const Seconds run = ledger_.expected_run(job.spec);
    for (const Seconds due : due_times(ledger_, job)) {
      if (due - run > now_) return now_ - job.submitted > (due - run - job.submitted) / 2;
    }
    return false;
  }

  void unplaced(const Job& job, Plan& out) {
    // One task of a job in a round. Work that is not urgent first gives room half the time that
    // its next aim leaves to come free by itself.
    if (job.spec.priority >= protocol::Priority::low) return;
    if (job.spec.priority == protocol::Priority::normal && !pressed(job)) return;
    if (job.spec.gang && job.waiting() > 1) return;
    preempt_for(job, out);
  }

  // Room on a slot once all that is being stopped there is gone, less what is claimed of it.
  Resources coming(const Slot& slot) const {
    Resources room = slot.room;
    for (const auto& id : slot.machine->tasks) {
      const Job* other = ledger_.job(id.job);
      if (other != nullptr && (other->live.at(id.task).stopping || stopped_.contains(id))) {
        room += needs_of(other->spec);
      }
    }
    return room;
  }

  // Stops less important tasks where that makes room for a job that found none, and claims that
  // room and the part of the team's limit: what the first of them leaves must not go to less
  // important work before the last has left. What is being stopped already counts as room to
  // come, so that nothing is stopped twice for one need.
  void preempt_for(const Job& job, Plan& out) {
    const TeamSettings* team = ledger_.settings().team(job.spec.team);
    if (team == nullptr) return;
    Resources used = ledger_.used_by(job.spec.team);
    used += taken_[job.spec.team];
    used += claimed_[job.spec.team];
    for (const auto& [id, other] : ledger_.jobs()) {
      if (other->spec.team != job.spec.team) continue;
      for (const auto& [task, placement] : other->live) {
        if (placement.stopping || stopped_.contains({id, task})) used -= needs_of(other->spec);
      }
    }
    const Resources left{team->cpus_max - used.cpus, team->gpus_max - used.gpus, 1e12};
    const Resources need = needs_of(job.spec);
    Slot* best = nullptr;
    std::vector<Preemption> best_victims;
    double best_loss = 0;
    for (Slot& slot : slots_) {
      const MachineType* type = ledger_.type(slot.machine->type);
      if (type == nullptr || !allows(job.spec, *type, slot.machine->zone, slot.machine->spot)) {
        continue;
      }
      std::vector<Preemption> victims;
      double loss = 0;
      if (!slot.machine->images.contains(job.spec.image)) loss += fetch_time(job.spec, *type);
      if (!gather(job, slot, left, victims, loss)) continue;
      if (best == nullptr || loss < best_loss) {
        best = &slot;
        best_loss = loss;
        best_victims = std::move(victims);
      }
    }
    if (best == nullptr) return;
    for (const auto& victim : best_victims) stopped_.insert({victim.job, victim.task});
    best->room -= need;
    claimed_[job.spec.team] += need;
    out.preemptions.insert(out.preemptions.end(), best_victims.begin(), best_victims.end());
  }

  // Whether an aim of the job is still to be met that saving first would miss.
  bool in_a_hurry(const Job& job, Seconds save) const {
    const Seconds run = ledger_.expected_run(job.spec);
    for (const Seconds due : due_times(ledger_, job)) {
      const Seconds start = due - run;
      if (start > now_ && start < now_ + save + ledger_.settings().report_s / 4) return true;
    }
    return false;
  }

  // The cheapest tasks of a machine, or of the team where only its limit is in the way, that make
  // room for a task of the job once they are stopped. False when there are none such; true
  // without victims when there will be room anyway.
  bool gather(const Job& job, const Slot& slot, const Resources& left,
              std::vector<Preemption>& victims, double& loss) const {
    struct Victim {
      const Job* job;
      const Placement* placement;
      double loss;
      bool save;
    };
    const Resources need = needs_of(job.spec);
    const Resources limit_need{need.cpus, need.gpus, 0};
    Resources room = coming(slot);
    Resources quota = left;
    std::vector<Victim> able;
    const auto consider = [&](const TaskId& id) {
      const Job* other = ledger_.job(id.job);
      if (other == nullptr || other->spec.priority <= job.spec.priority) return;
      if (other->spec.gang && other->spec.tasks > 1) return;
      const Placement& p = other->live.at(id.task);
      if (p.stopping || p.stage != Placement::Stage::held || stopped_.contains(id)) return;
      if (p.state == TaskState::saving) return;
      // What is lost: the time to save, or all since the last checkpoint.
      const Seconds ran = p.running_since < 0 ? 0 : now_ - p.running_since;
      const Seconds since =
          other->spec.checkpoint_s > 0 ? std::fmod(ran, other->spec.checkpoint_s) : ran;
      const bool save = other->spec.checkpoint_s > 0 && since > other->spec.save_s &&
                        !in_a_hurry(job, other->spec.save_s);
      able.push_back({other, &p, save ? other->spec.save_s : since, save});
    };
    if (room.fits(need)) {
      // Only the limit is in the way: any of the team's tasks will do.
      for (const auto& [id, other] : ledger_.jobs()) {
        if (other->spec.team != job.spec.team) continue;
        for (const auto& [task, placement] : other->live) consider({id, task});
      }
    } else {
      for (const auto& id : slot.machine->tasks) consider(id);
    }
    std::sort(able.begin(), able.end(), [](const Victim& a, const Victim& b) {
      return std::make_tuple(-static_cast<int>(a.job->spec.priority), a.loss, a.job->id(),
                             a.placement->task) <
             std::make_tuple(-static_cast<int>(b.job->spec.priority), b.loss, b.job->id(),
                             b.placement->task);
    });
    for (const Victim& v : able) {
      if (room.fits(need) && quota.fits(limit_need)) break;
      const bool same_team = v.job->spec.team == job.spec.team;
      if (room.fits(need) && !same_team) continue;
      if (v.placement->machine == slot.machine->name) room += needs_of(v.job->spec);
      if (same_team) quota += needs_of(v.job->spec);
      loss += v.loss;
      victims.push_back({v.job->id(), v.placement->task, v.save, job.id()});
    }
    return room.fits(need) && quota.fits(limit_need);
  }

  bool allowed(const Job& job, const Slot& slot) const {
    const MachineType* type = ledger_.type(slot.machine->type);
    return type != nullptr && allows(job.spec, *type, slot.machine->zone, slot.machine->spot) &&
           slot.room.fits(needs_of(job.spec));
  }

  // Chooses a machine for each of `tasks`, as far as there is room, and takes it from the slots.
  Choice choose(const Job& job, const std::vector<std::uint32_t>& tasks) {
    std::map<std::string, std::uint32_t> in_zone;
    std::string live_zone;
    for (const auto& [task, placement] : job.live) {
      if (const Machine* m = ledger_.find_machine(placement.machine)) {
        ++in_zone[m->zone];
        live_zone = m->zone;
      }
    }
    if (!job.spec.one_zone || tasks.size() <= 1) {
      return choose_in(job, tasks, job.spec.one_zone ? live_zone : "", in_zone);
    }
    if (!live_zone.empty()) return choose_in(job, tasks, live_zone, in_zone);
    // All in one zone, none chosen yet: the zone that takes the most.
    Choice best;
    for (const auto& zone : ledger_.settings().zones) {
      Choice choice = choose_in(job, tasks, zone, in_zone);
      if (choice.size() > best.size()) {
        give_back(job, best);
        best = std::move(choice);
      } else {
        give_back(job, choice);
      }
    }
    return best;
  }

  // Spot machines first: what may not use them has only the others.
  double kind_cost(const Job& job, const Slot& slot) const {
    return job.spec.spot && !slot.machine->spot ? ledger_.settings().report_s : 0;
  }

  Choice choose_in(const Job& job, const std::vector<std::uint32_t>& tasks, const std::string& zone,
                   std::map<std::string, std::uint32_t> in_zone) {
    Choice out;
    const std::uint32_t zone_most = (job.spec.tasks + 1) / 2;
    for (const std::uint32_t task : tasks) {
      Slot* best = nullptr;
      double best_cost = 0;
      for (Slot& slot : slots_) {
        if (!zone.empty() && slot.machine->zone != zone) continue;
        if (job.spec.spread && in_zone[slot.machine->zone] >= zone_most) continue;
        if (!allowed(job, slot)) continue;
        const double lost = displaced(job, slot);
        if (lost < 0) continue;
        const double c = cost(job, slot, ledger_) + kind_cost(job, slot) +
                         lost * ledger_.settings().report_s * kDisplacedReports;
        if (best == nullptr || c < best_cost) {
          best = &slot;
          best_cost = c;
        }
      }
      if (best == nullptr) break;
      take(job, *best);
      ++in_zone[best->machine->zone];
      out.emplace_back(best, task);
    }
    return out;
  }

  void give_back(const Job& job, const Choice& choice) {
    for (const auto& [slot, task] : choice) {
      Resources more = slot->room;
      more += needs_of(job.spec);
      for (Reserve& reserve : reserves_) {
        reserve.fits += fits(*reserve.spec, *slot, more) - fits(*reserve.spec, *slot, slot->room);
      }
      slot->room = more;
    }
  }

  void place_gang(Job& job, std::uint32_t quota, Assignment& out) {
    const std::uint32_t wanted = job.waiting();
    if (wanted == 0 || wanted > quota) return;
    // Its own holds count as room for it alone.
    if (const Holds::Hold* own = holds_.find(job.id())) {
      for (Slot& slot : slots_) {
        const auto held = own->tasks.find(slot.machine->name);
        if (held == own->tasks.end()) continue;
        for (std::uint32_t i = 0; i < held->second; ++i) slot.room += own->each;
      }
    }
    const Seconds expires =
        holds_.find(job.id()) ? holds_.find(job.id())->expires : now_ + limits_.hold_s;
    Choice choice = choose(job, waiting_tasks(job, wanted));
    holds_.release(job.id());
    if (choice.size() == wanted) {
      for (const auto& [slot, task] : choice) out.tasks.emplace_back(task, slot->machine->name);
      return;
    }
    // Only the foremost gang that lacks room keeps what it has found: two gangs can then never
    // block each other with half of what each needs, and the pieces held are those of one.
    if (!holder_ && choice.size() > 0) {
      holder_ = true;
      for (const auto& [slot, task] : choice) {
        holds_.reserve(job.id(), needs_of(job.spec), slot->machine->name, 1, expires);
      }
    } else {
      give_back(job, choice);
    }
  }

  Ledger& ledger_;
  Holds& holds_;
  Seconds now_;
  const PlanLimits& limits_;
  std::vector<Slot> slots_;
  std::vector<Reserve> reserves_;
  std::map<std::string, Resources> taken_;
  std::map<std::string, Resources> claimed_;  // by those for whom others are being stopped
  std::set<TaskId> stopped_;
  bool holder_ = false;
};

}  // namespace

void Holds::reserve(const std::string& job, const Resources& each, const std::string& machine,
                    std::uint32_t count, Seconds expires) {
  Hold& hold = holds_[job];
  if (hold.tasks.empty()) {
    hold.each = each;
    hold.expires = expires;
  }
  hold.tasks[machine] += count;
}

void Holds::release(const std::string& job) { holds_.erase(job); }

std::vector<std::string> Holds::expire(Seconds now) {
  std::vector<std::string> out;
  for (auto it = holds_.begin(); it != holds_.end();) {
    if (now >= it->second.expires) {
      out.push_back(it->first);
      it = holds_.erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

const Holds::Hold* Holds::find(const std::string& job) const {
  const auto it = holds_.find(job);
  return it == holds_.end() ? nullptr : &it->second;
}

std::vector<std::uint32_t> waiting_tasks(const Job& job, std::uint32_t most) {
  std::vector<std::uint32_t> out;
  for (const std::uint32_t task : job.returned) {
    if (out.size() >= most) return out;
    out.push_back(task);
  }
  for (std::uint32_t task = job.next_fresh; task < job.spec.tasks && out.size() < most; ++task) {
    out.push_back(task);
  }
  return out;
}

Plan plan(Ledger& ledger, Holds& holds, Seconds now, const PlanLimits& limits) {
  for (const auto& id : holds.expire(now)) {
    // An expired gang queues again and reserves anew after the others have had their turn.
    if (Job* job = ledger.job(id)) job->retry_at = now + limits.hold_s / 4;
  }
  return Round(ledger, holds, now, limits).run();
}

}  // namespace larkroad::coordination
