#include "coordination/planner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace larkroad::coordination {
namespace {

// A machine with its room in this round, less what others hold.
struct Slot {
  Machine* machine;
  Resources room;
};

// What placing a task here costs, in seconds of somebody's time.
double cost(const Job& job, const Slot& slot, const Ledger& ledger) {
  const MachineType* type = ledger.type(slot.machine->type);
  double out = 0;
  if (!slot.machine->images.contains(job.spec.image) && type != nullptr &&
      type->fetch_gb_per_s > 0) {
    out += job.spec.image_gb / type->fetch_gb_per_s;
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
      if (quota == 0) continue;
      Assignment assignment{job->id(), {}};
      if (job->spec.gang) {
        place_gang(*job, quota, assignment);
      } else {
        const auto tasks = waiting_tasks(*job, quota);
        for (const auto& [slot, task] : choose(*job, tasks)) {
          assignment.tasks.emplace_back(task, slot->machine->name);
        }
      }
      if (assignment.tasks.empty()) continue;
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
    const Resources left{team->cpus_max - used.cpus, team->gpus_max - used.gpus, 1e12};
    return left.times({job.spec.cpus, job.spec.gpus, 0});
  }

  bool allowed(const Job& job, const Slot& slot) const {
    const MachineType* type = ledger_.type(slot.machine->type);
    return type != nullptr &&
           allows(job.spec, *type, slot.machine->zone, slot.machine->spot) &&
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

  Choice choose_in(const Job& job, const std::vector<std::uint32_t>& tasks,
                   const std::string& zone, std::map<std::string, std::uint32_t> in_zone) {
    Choice out;
    const std::uint32_t zone_most = (job.spec.tasks + 1) / 2;
    for (const std::uint32_t task : tasks) {
      Slot* best = nullptr;
      double best_cost = 0;
      for (Slot& slot : slots_) {
        if (!zone.empty() && slot.machine->zone != zone) continue;
        if (job.spec.spread && in_zone[slot.machine->zone] >= zone_most) continue;
        if (!allowed(job, slot)) continue;
        const double c = cost(job, slot, ledger_);
        if (best == nullptr || c < best_cost) {
          best = &slot;
          best_cost = c;
        }
      }
      if (best == nullptr) break;
      best->room -= needs_of(job.spec);
      ++in_zone[best->machine->zone];
      out.emplace_back(best, task);
    }
    return out;
  }

  void give_back(const Job& job, const Choice& choice) {
    for (const auto& [slot, task] : choice) slot->room += needs_of(job.spec);
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
  std::map<std::string, Resources> taken_;
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
