#include "coordination/planner.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "coordination/forecast.hpp"

namespace larkroad::coordination {
namespace {

// The part of all room for a class that may be kept for what may come of it.
constexpr double kReserveMost = 0.5;
// What it costs to take room from a more important class, in reports.
constexpr double kDisplacedReports = 1;

// What it costs to block all GPUs of a machine, in reports.
constexpr double kBlockedReports = 4;

// A machine with its room in this round, less what others hold.
struct Slot {
  Machine* machine = nullptr;
  size_t pool = 0;
  Resources room;
  Resources coming;           // of what is being stopped on it, less what is claimed of that
  bool worth_asking = false;  // has room for some waiting task, or may have by stopping others
  std::optional<std::map<std::string, double>> fetching;  // images on their way, with their sizes
};

// Machines of one type, zone and kind: what a job may use is decided once for them all.
struct Pool {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  std::vector<Slot*> slots;
  std::vector<Slot*> open;  // those that have room for some waiting task, counting what is held
};

// Room kept for what may come of a more important class.
struct Reserve {
  const JobSpec* spec;
  double missing;             // tasks that are to find room
  double fits;                // tasks that find room at present
  std::vector<bool> allowed;  // by pool
  std::map<std::string, double> missing_by_team;
};

// A need for which no room was left in this round. Room only shrinks within a round, so whatever
// needs as much of the same pools, and is no more important, need not be tried.
struct Failed {
  std::vector<bool> allowed;
  Resources need;
  protocol::Priority priority;
};

// Whose tasks a job may have stopped, see Round::rights_of.
struct PreemptionRights {
  bool by_priority = false;   // those of lower priority
  bool by_guarantee = false;  // those that other teams run beyond their own guarantee
  std::string team;

  bool any() const { return by_priority || by_guarantee; }
  // Whether whatever the others allow is allowed by these, too.
  bool cover(const PreemptionRights& others) const {
    return (by_priority || !others.by_priority) &&
           (!others.by_guarantee || (by_guarantee && team == others.team));
  }
};

// The same for the search for tasks to stop: so many of a job's tasks found no room even so.
struct FailedStop {
  Failed failed;
  PreemptionRights rights;
  std::uint32_t wanted;
  bool one_zone;
  bool spread;
};

class Round {
 public:
  Round(Ledger& ledger, Holds& holds, Seconds now, const PlanLimits& limits)
      : ledger_(ledger), holds_(holds), now_(now), limits_(limits) {
    slots_.reserve(ledger_.machines().size());
    std::map<std::tuple<const MachineType*, std::string, bool>, size_t> pool_of;
    for (auto& [name, machine] : ledger_.machines()) {
      const MachineType* type = ledger_.type(machine.type);
      if (type == nullptr || !machine.usable(now)) continue;
      const auto [at, made] =
          pool_of.try_emplace({type, machine.zone, machine.spot}, pools_.size());
      if (made) pools_.push_back({type, machine.zone, machine.spot, {}, {}});
      slots_.push_back({&machine, at->second, machine.room(), {}, false, {}});
    }
    // Most machines of a busy fleet are full: they are passed over once, not once for each job.
    const auto least = least_need(ledger_);
    for (Slot& slot : slots_) {
      pools_[slot.pool].slots.push_back(&slot);
      if (least && slot.room.fits(*least)) pools_[slot.pool].open.push_back(&slot);
      by_name_[slot.machine->name] = &slot;
    }
    for (const auto& [id, job] : ledger_.jobs()) {
      if (job->spec.gpus > 0 && job->waiting() > 0) waits_for_gpus(job->spec);
    }
    for (const auto& [job, hold] : holds_.all()) {
      for (const auto& [name, count] : hold.tasks) {
        if (Slot* slot = slot_of(name)) take_room(slot->room, hold.each, count);
      }
    }
    for (const auto& f : forecast(ledger_, now_)) {
      Reserve reserve{f.spec, f.missing(), 0, allowed_pools(*f.spec), {}};
      const Resources need = needs_of(*f.spec);
      double most = 0;
      for (const Slot& slot : slots_) {
        if (!reserve.allowed[slot.pool]) continue;
        reserve.fits += slot.room.times(need);
        most += slot.machine->capacity.times(need);
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
    const auto jobs = order_of_work(ledger_, now_, limits_.start_bound_s);
    for (size_t i = 0; i < jobs.size(); ++i) {
      Job* job = jobs[i];
      // Urgent work comes first in every round, so that its claims stand and what arrives
      // meanwhile does not queue behind the rest; that goes on where the last round stopped.
      const bool first = job->spec.priority <= protocol::Priority::high;
      if (i < limits_.start_at && !first) continue;
      if (i > limits_.start_at && !first && limits_.out_of_time()) {
        out.stopped_at = i;
        break;
      }
      if (job->busy || now_ < job->retry_at) continue;
      const std::uint32_t quota = quota_room(*job);
      Assignment assignment{job->id(), {}};
      if (job->spec.gang) {
        place_gang(*job, quota, assignment);
      } else if (quota > 0) {
        if (!hopeless(*job)) {
          // What rises does so to begin: one task of an array will do, and the rest of it keeps
          // its place.
          const bool risen = rise_of(ledger_, *job, now_, limits_.start_bound_s) != Rise::none;
          const auto tasks = waiting_tasks(*job, risen ? 1 : quota);
          const Choice choice = choose(*job, tasks);
          if (choice.size() < tasks.size() && !job->spec.spread && !job->spec.one_zone) {
            failed_.push_back({allowed_pools(job->spec), needs_of(job->spec), job->spec.priority});
          }
          for (const auto& [slot, task] : choice) {
            assignment.tasks.emplace_back(task, slot->machine->name);
          }
        }
      }
      if (assignment.tasks.empty()) {
        if (const auto rights = rights_of(*job); rights.any()) preempt_for(*job, rights, out);
        continue;
      }
      take_room(taken_[job->spec.team], needs_of(job->spec),
                -static_cast<double>(assignment.tasks.size()));
      out.assignments.push_back(std::move(assignment));
    }
    out.looked_at = offers_;
    return out;
  }

 private:
  using Choice = std::vector<std::pair<Slot*, std::uint32_t>>;

  static void take_room(Resources& room, const Resources& each, double count) {
    room.cpus -= each.cpus * count;
    room.gpus -= each.gpus * count;
    room.memory_gb -= each.memory_gb * count;
  }

  Slot* slot_of(const std::string& machine) const {
    const auto it = by_name_.find(machine);
    return it == by_name_.end() ? nullptr : it->second;
  }

  std::vector<bool> allowed_pools(const JobSpec& spec) const {
    std::vector<bool> out;
    out.reserve(pools_.size());
    for (const Pool& pool : pools_) out.push_back(allows(spec, *pool.type, pool.zone, pool.spot));
    return out;
  }

  bool hopeless(const Job& job) const {
    if (failed_.empty()) return false;
    const auto allowed = allowed_pools(job.spec);
    const Resources need = needs_of(job.spec);
    return std::any_of(failed_.begin(), failed_.end(), [&](const Failed& f) {
      return f.priority <= job.spec.priority && need.fits(f.need) && f.allowed == allowed;
    });
  }

  // What the team's limit leaves, counting what this round has given away.
  Resources quota_left(const Job& job) const {
    const TeamSettings* team = ledger_.settings().team(job.spec.team);
    if (team == nullptr) return {};
    Resources used = ledger_.used_by(job.spec.team);
    for (const auto* more : {&taken_, &claimed_}) {
      const auto it = more->find(job.spec.team);
      if (it != more->end()) used += it->second;
    }
    return {team->cpus_max - used.cpus, team->gpus_max - used.gpus, kNoLimit};
  }

  std::uint32_t quota_room(const Job& job) const {
    Resources left = quota_left(job);
    // What may come of the team's more important work keeps its part of the limit.
    for (const Reserve& reserve : reserves_) {
      if (reserve.spec->priority >= job.spec.priority) continue;
      const auto missing = reserve.missing_by_team.find(job.spec.team);
      if (missing == reserve.missing_by_team.end()) continue;
      left.cpus -= missing->second * reserve.spec->cpus;
      left.gpus -= missing->second * reserve.spec->gpus;
    }
    return left.times({job.spec.cpus, job.spec.gpus, 0});
  }

  struct GpuNeed {
    std::vector<bool> allowed;  // by pool
    Resources need;
  };

  void waits_for_gpus(const JobSpec& spec) {
    const Resources need = needs_of(spec);
    if (std::none_of(gpu_needs_.begin(), gpu_needs_.end(),
                     [&](const GpuNeed& known) { return known.need == need; })) {
      gpu_needs_.push_back({allowed_pools(spec), need});
    }
  }

  // The part of a machine's GPUs that a task which needs none would block for work that does.
  double blocked_gpus(const Job& job, const Slot& slot, const Resources& room) const {
    const Resources& all = slot.machine->capacity;
    if (job.spec.gpus > 0 || all.gpus <= 0) return 0;
    Resources rest = room;
    rest -= needs_of(job.spec);
    double out = 0;
    for (const GpuNeed& gpu : gpu_needs_) {
      if (!gpu.allowed[slot.pool]) continue;
      const double blocked = static_cast<double>(room.times(gpu.need)) - rest.times(gpu.need);
      out = std::max(out, blocked * gpu.need.gpus / all.gpus);
    }
    return out;
  }

  // How long the job's image takes to be there: several fetches share the machine's rate.
  Seconds wait_for_image(const Job& job, Slot& slot) const {
    if (slot.machine->images.contains(job.spec.image)) return 0;
    if (!slot.fetching) {
      slot.fetching.emplace();
      for (const auto& id : slot.machine->tasks) {
        const Job* other = ledger_.job(id.job);
        if (other == nullptr || slot.machine->images.contains(other->spec.image)) continue;
        (*slot.fetching)[other->spec.image] = other->spec.image_gb;
      }
    }
    const double rate = pools_[slot.pool].type->fetch_gb_per_s;
    if (rate <= 0) return 0;
    double gb = slot.fetching->contains(job.spec.image) ? 0 : job.spec.image_gb;
    for (const auto& [image, size] : *slot.fetching) gb += size;
    return gb / rate;
  }

  // What placing a task here costs, in seconds of somebody's time.
  double cost(const Job& job, Slot& slot) const {
    const Pool& pool = pools_[slot.pool];
    const Seconds report = ledger_.settings().report_s;
    double out = wait_for_image(job, slot);
    // Work that needs no GPU leaves the machines that have some to work that does, unless it
    // would wait for its image elsewhere.
    if (job.spec.gpus == 0 && pool.type->gpus > 0) {
      out += report * (1 + kBlockedReports * blocked_gpus(job, slot, slot.room));
    }
    // Spot machines first: what may not use them has only the others.
    if (job.spec.spot && !pool.spot) out += report;
    // Best fit: the less room remains, the better the rest of the fleet can take large tasks.
    Resources rest = slot.room;
    rest -= needs_of(job.spec);
    const auto part = [](double left, double all) { return all > 0 ? left / all : 0; };
    const Resources& all = slot.machine->capacity;
    return out + (part(rest.cpus, all.cpus) + part(rest.memory_gb, all.memory_gb)) / 2;
  }

  // How much room for more important classes a task of this job would take on this slot; negative
  // when what is left would be less than what may come.
  double displaced(const Job& job, const Slot& slot) const {
    double out = 0;
    for (const Reserve& reserve : reserves_) {
      if (reserve.spec->priority >= job.spec.priority || !reserve.allowed[slot.pool]) continue;
      const double loss = lost_fits(reserve, job, slot);
      if (loss > 0 && reserve.fits - loss < reserve.missing) return -1;
      out += loss;
    }
    return out;
  }

  double lost_fits(const Reserve& reserve, const Job& job, const Slot& slot) const {
    const Resources need = needs_of(*reserve.spec);
    Resources rest = slot.room;
    rest -= needs_of(job.spec);
    return static_cast<double>(slot.room.times(need)) - rest.times(need);
  }

  void take(const Job& job, Slot& slot) {
    for (Reserve& reserve : reserves_) {
      if (reserve.allowed[slot.pool]) reserve.fits -= lost_fits(reserve, job, slot);
    }
    slot.room -= needs_of(job.spec);
    if (slot.fetching && !slot.machine->images.contains(job.spec.image)) {
      (*slot.fetching)[job.spec.image] = job.spec.image_gb;
    }
  }

  void give_back(const Job& job, const Choice& choice) {
    for (const auto& [slot, task] : choice) {
      slot->room += needs_of(job.spec);
      slot->fetching.reset();  // seen anew when it matters
      for (Reserve& reserve : reserves_) {
        if (reserve.allowed[slot->pool]) reserve.fits += lost_fits(reserve, job, *slot);
      }
    }
  }

  void give_back(const Holds::Hold& hold) {
    for (const auto& [name, count] : hold.tasks) {
      if (Slot* slot = slot_of(name)) {
        take_room(slot->room, hold.each, -static_cast<double>(count));
      }
    }
  }

  // How many of a job's tasks each zone has. After a change of leader the zone of what runs may not
  // be known yet: then nothing that depends on it is decided.
  std::optional<std::map<std::string, std::uint32_t>> live_zones(const Job& job) const {
    std::map<std::string, std::uint32_t> out;
    for (const auto& [task, p] : job.live) {
      if (const Machine* m = ledger_.find_machine(p.machine)) ++out[m->zone];
    }
    if ((job.spec.one_zone || job.spec.spread) && out.contains("")) return std::nullopt;
    return out;
  }

  // ------------------------------------------------------------ placing

  // The cost of one more task on a slot; negative when it can't be there.
  double offer(const Job& job, Slot& slot) const {
    if (!slot.room.fits(needs_of(job.spec))) return -1;
    const double lost = displaced(job, slot);
    if (lost < 0) return -1;
    return cost(job, slot) + lost * ledger_.settings().report_s * kDisplacedReports;
  }

  // Chooses a machine for each of `tasks`, as far as there is room, and takes it from the slots.
  Choice choose(const Job& job, const std::vector<std::uint32_t>& tasks) {
    const auto zones = live_zones(job);
    if (!zones) return {};
    if (!job.spec.one_zone) return choose_in(job, tasks, "", *zones);
    const std::string live_zone = zones->empty() ? "" : zones->begin()->first;
    if (!live_zone.empty() || tasks.size() <= 1) return choose_in(job, tasks, live_zone, *zones);
    // All in one zone, none chosen yet: the zone that takes the most, and of those the cheapest.
    Choice best;
    double best_cost = 0;
    for (const auto& zone : ledger_.settings().zones) {
      double cost = 0;
      Choice choice = choose_in(job, tasks, zone, {}, &cost);
      if (choice.size() > best.size() || (choice.size() == best.size() && cost < best_cost)) {
        give_back(job, best);
        best = std::move(choice);
        best_cost = cost;
      } else {
        give_back(job, choice);
      }
    }
    return best;
  }

  Choice choose_in(const Job& job, const std::vector<std::uint32_t>& tasks, const std::string& zone,
                   std::map<std::string, std::uint32_t> in_zone, double* total = nullptr) {
    using Offer = std::pair<double, Slot*>;
    const auto dearer = [](const Offer& a, const Offer& b) {
      return std::tie(a.first, a.second->machine->name) >
             std::tie(b.first, b.second->machine->name);
    };
    std::vector<Offer> offers;
    for (Pool& pool : pools_) {
      if (!zone.empty() && pool.zone != zone) continue;
      if (!allows(job.spec, *pool.type, pool.zone, pool.spot)) continue;
      for (Slot* slot : pool.open) {
        ++offers_;
        const double price = offer(job, *slot);
        if (price >= 0) offers.emplace_back(price, slot);
      }
    }
    std::make_heap(offers.begin(), offers.end(), dearer);
    Choice out;
    const std::uint32_t zone_most = (job.spec.tasks + 1) / 2;
    while (out.size() < tasks.size() && !offers.empty()) {
      std::pop_heap(offers.begin(), offers.end(), dearer);
      const auto [price, slot] = offers.back();
      offers.pop_back();
      const std::string& there = pools_[slot->pool].zone;
      if (job.spec.spread && in_zone[there] >= zone_most) continue;
      // What has been taken meanwhile may have made it dearer, or impossible.
      const double present = offer(job, *slot);
      if (present < 0) continue;
      if (present > price && !offers.empty() && present > offers.front().first) {
        offers.emplace_back(present, slot);
        std::push_heap(offers.begin(), offers.end(), dearer);
        continue;
      }
      take(job, *slot);
      ++in_zone[there];
      if (total != nullptr) *total += present;
      out.emplace_back(slot, tasks[out.size()]);
      const double again = offer(job, *slot);
      if (again >= 0) {
        offers.emplace_back(again, slot);
        std::push_heap(offers.begin(), offers.end(), dearer);
      }
    }
    return out;
  }

  void place_gang(Job& job, std::uint32_t quota, Assignment& out) {
    const std::uint32_t wanted = job.waiting();
    if (wanted == 0) return;
    const bool risen = rise_of(ledger_, job, now_, limits_.start_bound_s) != Rise::none;
    if (wanted > quota) {
      // Others of its team must not take for ever, piece by piece, what it needs at once.
      if (risen && !may_preempt(job))
        take_room(claimed_[job.spec.team], needs_of(job.spec), -static_cast<double>(wanted));
      return;
    }
    const Holds::Hold* own = holds_.find(job.id());
    if (own == nullptr && hopeless(job)) return;
    // Its own holds count as room for it alone.
    if (own != nullptr) give_back(*own);
    // One that has waited long keeps what it has found.
    const Seconds expires = own != nullptr && !risen ? own->expires : now_ + limits_.hold_s;
    Choice choice = choose(job, waiting_tasks(job, wanted));
    holds_.release(job.id());
    if (choice.size() == wanted) {
      for (const auto& [slot, task] : choice) out.tasks.emplace_back(task, slot->machine->name);
      return;
    }
    if (choice.empty() && !job.spec.one_zone && !job.spec.spread) {
      failed_.push_back({allowed_pools(job.spec), needs_of(job.spec), job.spec.priority});
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

  // ------------------------------------------------------------ preemption

  // When the job must start for its next aim that can still be met; none: there is none.
  std::optional<Seconds> next_start(const Job& job) const {
    const Seconds run = ledger_.expected_run(job.spec);
    for (const Seconds due : due_times(ledger_, job)) {
      if (due - run > now_) return due - run;
    }
    return std::nullopt;
  }

  bool pressed(const Job& job) const {
    const auto start = next_start(job);
    return start && now_ - job.submitted > (*start - job.submitted) / 2;
  }

  bool may_preempt(const Job& job) const {
    // Work that is not urgent first gives room half the time that its next aim leaves to come
    // free by itself.
    if (job.spec.priority >= protocol::Priority::low) return false;
    return job.spec.priority != protocol::Priority::normal || pressed(job);
  }

  bool is_guaranteed(const Job& job) {
    if (!guaranteed_) guaranteed_ = within_guarantee(ledger_);
    return guaranteed_->contains(job.id());
  }

  // A job within its team's guarantee need not wait for work that another team runs beyond its own,
  // so it gives that no time to end by itself.
  PreemptionRights rights_of(const Job& job) {
    return {may_preempt(job), is_guaranteed(job), job.spec.team};
  }

  // Work of higher priority is never stopped for a guarantee: it would stop this job in its turn,
  // again and again. Of equal priority only guests' work is: it comes last in the order, whereas
  // another team's might take the room that is freed before this job does.
  bool may_stop(const Job& job, const PreemptionRights& rights, const Job& owner) {
    const auto priority = owner.standing();
    if (rights.by_priority && priority > job.spec.priority) return true;
    if (!rights.by_guarantee || owner.spec.team == job.spec.team || is_guaranteed(owner)) {
      return false;
    }
    return priority > job.spec.priority ||
           (priority == job.spec.priority && is_guest(ledger_.settings(), owner.spec.team));
  }

  struct Victim {
    const Job* job;
    const Placement* placement;
    double loss;
    bool save;
  };

  // What stopping a task loses: the time to save, or all since the last checkpoint. Of a gang all
  // members stop, and what all of them lose counts.
  Victim victim(const Job& owner, const Placement& p, Seconds left) const {
    const Seconds ran = p.running_since < 0 ? 0 : now_ - p.running_since;
    const Seconds since =
        owner.spec.checkpoint_s > 0 ? std::fmod(ran, owner.spec.checkpoint_s) : ran;
    const bool save = owner.spec.checkpoint_s > 0 && since > owner.spec.save_s &&
                      owner.spec.save_s + ledger_.settings().report_s / 4 <= left;
    const double members = owner.spec.gang ? static_cast<double>(owner.live.size()) : 1;
    return {&owner, &p, (save ? owner.spec.save_s : since) * members, save};
  }

  static bool stoppable(const Job& owner, const Placement& p) {
    const auto can_stop = [](const Placement& q) {
      return !q.stopping && q.stage == Placement::Stage::held && q.state != TaskState::saving;
    };
    if (!owner.spec.gang) return can_stop(p);
    // An orderly stop needs every member to be there.
    return std::all_of(owner.live.begin(), owner.live.end(),
                       [&](const auto& entry) { return can_stop(entry.second); });
  }

  // Sees once a round what is being stopped, by machine and by team, and what could be.
  void survey() {
    if (surveyed_) return;
    surveyed_ = true;
    for (const Pool& pool : pools_) {
      for (Slot* slot : pool.open) slot->worth_asking = true;
    }
    for (const auto& [id, job] : ledger_.jobs()) {
      for (const auto& [task, p] : job->live) {
        if (p.stopping) {
          if (Slot* slot = slot_of(p.machine)) {
            slot->coming += needs_of(job->spec);
            slot->worth_asking = true;
          }
          coming_quota_[job->spec.team] += needs_of(job->spec);
        } else if (job->standing() > protocol::Priority::production && stoppable(*job, p)) {
          if (Slot* slot = slot_of(p.machine)) {
            on_slot_[p.machine].push_back({job.get(), &p});
            slot->worth_asking = true;
          }
          of_team_[job->spec.team].push_back({job.get(), &p});
        }
      }
    }
  }

  // Stops less important tasks where that makes room for a job that found none, and claims that
  // room and the part of the team's limit: what the first of them leaves must not go to less
  // important work before the last has left. What is being stopped already counts as room to
  // come, so that nothing is stopped twice for one need. Of a gang all members find room or
  // nothing is stopped.
  void preempt_for(const Job& job, const PreemptionRights& rights, Plan& out) {
    survey();
    const std::uint32_t wanted = job.spec.gang ? job.waiting() : 1;
    if (wanted == 0) return;
    const Resources need = needs_of(job.spec);
    const Holds::Hold* own = holds_.find(job.id());
    const auto allowed = allowed_pools(job.spec);
    if (own == nullptr &&
        std::any_of(failed_stops_.begin(), failed_stops_.end(), [&](const FailedStop& f) {
          return f.failed.priority <= job.spec.priority && f.wanted <= wanted &&
                 f.rights.cover(rights) && need.fits(f.failed.need) && f.failed.allowed == allowed &&
                 (job.spec.one_zone || !f.one_zone) && (job.spec.spread || !f.spread);
        })) {
      return;
    }
    const Resources limit_need{need.cpus, need.gpus, 0};
    const Seconds left = next_start(job).value_or(now_ + 1e12) - now_;
    std::vector<Victim> victims;
    std::vector<std::pair<Slot*, Resources>> before;  // to undo
    const auto stopped_before = stopped_;
    const auto quota_before = coming_quota_;
    const auto stop = [&](const Victim& v) {
      // With one task of a gang all of them go.
      for (const auto& [task, p] : v.job->live) {
        if (!v.job->spec.gang && task != v.placement->task) continue;
        stopped_.insert({v.job->id(), task});
        if (Slot* slot = slot_of(p.machine)) {
          before.emplace_back(slot, slot->coming);
          slot->coming += needs_of(v.job->spec);
        }
        coming_quota_[v.job->spec.team] += needs_of(v.job->spec);
        victims.push_back({v.job, &p, v.loss, v.save});
      }
    };
    const auto undo = [&] {
      for (auto it = before.rbegin(); it != before.rend(); ++it) it->first->coming = it->second;
      stopped_ = stopped_before;
      coming_quota_ = quota_before;
    };
    const auto by_loss = [](const Victim& a, const Victim& b) {
      return std::make_tuple(-static_cast<int>(a.job->standing()), a.loss, a.job->id(),
                             a.placement->task) <
             std::make_tuple(-static_cast<int>(b.job->standing()), b.loss, b.job->id(),
                             b.placement->task);
    };
    const auto able = [&](const std::vector<std::pair<const Job*, const Placement*>>& from) {
      std::vector<Victim> list;
      for (const auto& [owner, p] : from) {
        // Nor is GPU work stopped for what needs none, unless that is urgent.
        if (job.spec.gpus <= 0 && owner->spec.gpus > 0 &&
            job.spec.priority > protocol::Priority::high) {
          continue;
        }
        if (may_stop(job, rights, *owner) && !stopped_.contains({owner->id(), p->task})) {
          list.push_back(victim(*owner, *p, left));
        }
      }
      std::sort(list.begin(), list.end(), by_loss);
      return list;
    };

    // The team's limit first: any less important task of the team will do.
    const auto quota_fits = [&] {
      Resources left = quota_left(job);
      left += coming_quota_[job.spec.team];
      return left.times(limit_need) >= wanted;
    };
    if (!quota_fits()) {
      for (const Victim& v : able(of_team_[job.spec.team])) {
        if (quota_fits()) break;
        if (!stopped_.contains({v.job->id(), v.placement->task})) stop(v);
      }
      if (!quota_fits()) {
        undo();
        return;
      }
    }

    // Then room: the cheapest machine for each task, again and again.
    const auto live = live_zones(job);
    if (!live) {
      undo();
      return;
    }
    const auto room_on = [&](const Slot& slot) {
      Resources room = slot.room;
      room += slot.coming;
      if (own != nullptr) {
        const auto held = own->tasks.find(slot.machine->name);
        if (held != own->tasks.end()) {
          take_room(room, own->each, -static_cast<double>(held->second));
        }
      }
      return room;
    };
    // What one more task on a slot costs, and whom it stops; negative when it can't be.
    const auto price = [&](const Slot& slot, std::vector<Victim>& whom) -> double {
      whom.clear();
      double loss = slot.machine->images.contains(job.spec.image)
                        ? 0
                        : fetch_time(job.spec, *pools_[slot.pool].type);
      Resources room = room_on(slot);
      if (room.fits(need)) return loss;
      const auto there = on_slot_.find(slot.machine->name);
      if (there == on_slot_.end()) return -1;
      std::set<std::string> gangs;
      for (const Victim& v : able(there->second)) {
        if (v.job->spec.gang && !gangs.insert(v.job->id()).second) continue;
        room += needs_of(v.job->spec);
        loss += v.loss;
        whom.push_back(v);
        if (room.fits(need)) return loss;
      }
      return -1;
    };
    const auto zones = !job.spec.one_zone ? std::vector<std::string>{""}
                       : !live->empty()   ? std::vector<std::string>{live->begin()->first}
                                          : ledger_.settings().zones;
    for (const auto& zone : zones) {
      using Offer = std::tuple<double, std::string, Slot*>;
      std::vector<Offer> offers;
      std::vector<Victim> whom;
      for (Pool& pool : pools_) {
        if (!zone.empty() && pool.zone != zone) continue;
        if (!allows(job.spec, *pool.type, pool.zone, pool.spot)) continue;
        for (Slot* slot : pool.slots) {
          if (!slot->worth_asking) continue;
          ++offers_;
          const double loss = price(*slot, whom);
          if (loss >= 0) offers.emplace_back(loss, slot->machine->name, slot);
        }
      }
      std::make_heap(offers.begin(), offers.end(), std::greater<>());
      std::vector<Slot*> claimed;
      auto in_zone = *live;
      while (claimed.size() < wanted && !offers.empty()) {
        std::pop_heap(offers.begin(), offers.end(), std::greater<>());
        Slot* slot = std::get<Slot*>(offers.back());
        const double offered = std::get<0>(offers.back());
        offers.pop_back();
        if (job.spec.spread && in_zone[pools_[slot->pool].zone] >= (job.spec.tasks + 1) / 2) {
          continue;
        }
        const double present = price(*slot, whom);
        if (present < 0) continue;
        if (present <= offered || offers.empty() || present <= std::get<0>(offers.front())) {
          for (const Victim& v : whom) {
            if (!stopped_.contains({v.job->id(), v.placement->task})) stop(v);
          }
          before.emplace_back(slot, slot->coming);
          slot->coming -= need;
          ++in_zone[pools_[slot->pool].zone];
          claimed.push_back(slot);
        }
        const double again = price(*slot, whom);
        if (again >= 0) {
          offers.emplace_back(again, slot->machine->name, slot);
          std::push_heap(offers.begin(), offers.end(), std::greater<>());
        }
      }
      if (claimed.size() == wanted) {
        // A claim is made anew in every round, and needs no hold besides.
        if (own != nullptr) {
          give_back(*own);
          holds_.release(job.id());
        }
        // What is free of it already is kept from less important work, too.
        for (Slot* slot : claimed) {
          slot->coming += need;
          slot->room -= need;
        }
        take_room(claimed_[job.spec.team], need, -static_cast<double>(wanted));
        for (const Victim& v : victims) {
          out.preemptions.push_back({v.job->id(), v.placement->task, v.save, job.id()});
        }
        return;
      }
    }
    undo();
    // Of a job that has tasks somewhere its zones are narrowed down: that says nothing of others.
    if (live->empty() && own == nullptr) {
      failed_stops_.push_back(
          {{allowed, need, job.spec.priority}, rights, wanted, job.spec.one_zone, job.spec.spread});
    }
  }

  Ledger& ledger_;
  Holds& holds_;
  Seconds now_;
  const PlanLimits& limits_;
  std::vector<Slot> slots_;
  std::vector<Pool> pools_;
  std::unordered_map<std::string, Slot*> by_name_;
  std::vector<Reserve> reserves_;
  std::vector<Failed> failed_;
  std::vector<FailedStop> failed_stops_;
  size_t offers_ = 0;               // looked at, all jobs together
  std::vector<GpuNeed> gpu_needs_;  // of work that waits for room
  std::map<std::string, Resources> taken_;
  std::map<std::string, Resources> claimed_;  // by those for whom others are being stopped
  bool surveyed_ = false;
  std::map<std::string, Resources> coming_quota_;  // of a team's tasks that are being stopped
  std::unordered_map<std::string, std::vector<std::pair<const Job*, const Placement*>>> on_slot_;
  std::map<std::string, std::vector<std::pair<const Job*, const Placement*>>> of_team_;
  std::set<TaskId> stopped_;
  bool holder_ = false;
  std::optional<std::set<std::string>> guaranteed_;  // jobs within their team's guarantee
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
