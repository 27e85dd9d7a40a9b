#include "coordination/scheduling/preemption.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "coordination/scheduling/job_queue.hpp"

namespace larkroad::coordination {
namespace {

// The price of a machine where no room can be made.
constexpr double kImpossible = -1;
// How long a replica is away when it is stopped for others, in reports.
constexpr double kRestartReports = 2;
// How many machines of a pool on which room can be made are compared: so many, or for a gang so
// many a task. The rest of a large fleet is not looked at.
constexpr size_t kOffersLeast = 64;
constexpr size_t kOffersPerTask = 8;

bool can_stop(const Placement& placement) {
  return !placement.stopping && placement.stage == Placement::Stage::acknowledged &&
         placement.state != TaskState::saving;
}

bool stoppable(const Job& owner, const Placement& placement) {
  if (!owner.spec.is_gang()) return can_stop(placement);
  // An orderly stop needs every member to be there.
  return std::all_of(owner.placements.begin(), owner.placements.end(),
                     [](const auto& entry) { return can_stop(entry.second); });
}

// Whether the job is past half the time that its next aim leaves it to start.
bool pressed(const ClusterState& cluster, const Job& job, Seconds now) {
  const auto start = next_start(cluster, job, now);
  return start && now - job.submitted > (*start - job.submitted) / 2;
}

}  // namespace

bool PreemptionRights::cover(const PreemptionRights& others) const {
  return (by_priority || !others.by_priority) &&
         (!others.by_guarantee || (by_guarantee && team == others.team));
}

std::optional<Seconds> next_start(const ClusterState& cluster, const Job& job, Seconds now) {
  const Seconds run = cluster.expected_run(job.spec);
  for (const Seconds due : due_times(cluster, job)) {
    if (due - run > now) return due - run;
  }
  return std::nullopt;
}

bool Preemptor::is_guaranteed(const Job& job) {
  if (!guaranteed_) guaranteed_ = within_guarantee(view_.cluster());
  return guaranteed_->contains(job.id());
}

bool Preemptor::may_stop_lower(const Job& job) const {
  if (job.spec.priority >= protocol::Priority::low) return false;
  return job.spec.priority != protocol::Priority::normal ||
         pressed(view_.cluster(), job, view_.now());
}

PreemptionRights Preemptor::rights_of(const Job& job) {
  return {may_stop_lower(job), is_guaranteed(job), job.spec.team};
}

// Sees once a cycle what is being stopped, and what could be.
void Preemptor::survey() {
  if (surveyed_) return;
  surveyed_ = true;
  size_t most = 0;
  for (const auto& [id, job] : view_.cluster().jobs()) most += job->placements.size();
  candidates_.reserve(most);  // pointers into it must last
  for (const auto& [id, job] : view_.cluster().jobs()) add_candidates(*job);
}

void Preemptor::add_candidates(const Job& job) {
  const Resources need = needs_of(job.spec);
  const bool guaranteed = !job.placements.empty() && is_guaranteed(job);
  const bool guest = is_guest(view_.cluster().settings(), job.spec.team);
  const auto priority = static_cast<size_t>(job.effective_priority());
  for (const auto& [task, placement] : job.placements) {
    MachineView* machine = view_.find(placement.machine);
    if (placement.stopping) {
      if (machine != nullptr) machine->releasing += need;
      releasing_limits_[job.spec.team] += need;
      continue;
    }
    if (job.effective_priority() <= protocol::Priority::production || !stoppable(job, placement))
      continue;
    candidates_.push_back({&job, &placement, machine, guaranteed, guest, false});
    Candidate* candidate = &candidates_.back();
    if (job.spec.is_gang()) by_placement_[&placement] = candidate;
    of_team_[job.spec.team].push_back(candidate);
    if (machine == nullptr) continue;
    OnMachine& there = on_machine_[machine];
    there.candidates.push_back(candidate);
    there.by_priority[priority] += need;
    if (guest) there.of_guests[priority] += need;
  }
}

// Work of higher priority is never stopped for a guarantee: it would stop this job in its turn,
// again and again. Of equal priority only guests' work is: it comes last in the order, whereas
// another team's might take the room that is freed before this job does.
bool Preemptor::may_stop(const Search& search, const Candidate& candidate) const {
  if (candidate.stopped) return false;
  const JobSpec& spec = search.job.spec;
  const JobSpec& other = candidate.owner->spec;
  // GPU work is not stopped for what needs none, unless that is urgent.
  if (spec.gpus <= 0 && other.gpus > 0 && spec.priority > protocol::Priority::high) return false;
  const auto standing = candidate.owner->effective_priority();
  if (search.rights.by_priority && standing > spec.priority) return true;
  if (!search.rights.by_guarantee || other.team == spec.team || candidate.guaranteed) return false;
  return standing > spec.priority || (standing == spec.priority && candidate.guest);
}

Preemptor::Victim Preemptor::victim(const Search& search, Candidate& candidate) const {
  const JobSpec& spec = candidate.owner->spec;
  const Placement& placement = *candidate.placement;
  const Seconds ran = placement.running_since < 0 ? 0 : view_.now() - placement.running_since;
  const Seconds heartbeat = view_.cluster().settings().heartbeat_interval_s;
  Seconds since = spec.checkpoint_s > 0 ? std::fmod(ran, spec.checkpoint_s) : ran;
  // A replica repeats no work, but it is away until it runs elsewhere.
  if (spec.is_service()) since = heartbeat * kRestartReports;
  const bool save = spec.checkpoint_s > 0 && since > spec.save_s &&
                    spec.save_s + heartbeat / 4 <= search.time_left;
  const double members =
      spec.is_gang() ? static_cast<double>(candidate.owner->placements.size()) : 1;
  return {&candidate, (save ? spec.save_s : since) * members, save};
}

// The least important first, then those that lose less by a report interval or more, then those of
// the job that came last: stopping all jobs alike would let none of them end.
std::vector<Preemptor::Victim> Preemptor::victims_of(const Search& search,
                                                     const std::vector<Candidate*>& from) const {
  std::vector<Victim> out;
  for (Candidate* candidate : from) {
    if (may_stop(search, *candidate)) out.push_back(victim(search, *candidate));
  }
  const Seconds heartbeat = view_.cluster().settings().heartbeat_interval_s;
  const auto key = [heartbeat](const Victim& v) {
    const Job& owner = *v.candidate->owner;
    return std::make_tuple(-static_cast<int>(owner.effective_priority()),
                           std::floor(v.loss / heartbeat), -owner.submitted, v.loss,
                           std::cref(owner.id()), v.candidate->placement->task);
  };
  std::sort(out.begin(), out.end(),
            [&](const Victim& a, const Victim& b) { return key(a) < key(b); });
  return out;
}

// With one task of a gang all of them go.
void Preemptor::stop(const Victim& victim, Changes& changes) {
  const Job& owner = *victim.candidate->owner;
  const Resources need = needs_of(owner.spec);
  const auto stop_one = [&](Candidate& candidate) {
    candidate.stopped = true;
    changes.stopped.push_back(&candidate);
    if (MachineView* machine = candidate.machine) {
      changes.releasing.emplace_back(machine, machine->releasing);
      machine->releasing += need;
    }
    releasing_limits_[owner.spec.team] += need;
    changes.victims.push_back({&candidate, victim.loss, victim.save});
  };
  if (!owner.spec.is_gang()) {
    stop_one(*victim.candidate);
    return;
  }
  for (const auto& [task, placement] : owner.placements) stop_one(*by_placement_.at(&placement));
}

void Preemptor::undo(Changes& changes) {
  // The oldest last: it tells how it was before.
  std::reverse(changes.releasing.begin(), changes.releasing.end());
  for (const auto& [machine, before] : changes.releasing) machine->releasing = before;
  for (Candidate* candidate : changes.stopped) candidate->stopped = false;
  releasing_limits_ = std::move(changes.releasing_limits);
}

bool Preemptor::already_failed(const Search& search, const std::vector<bool>& allowed) const {
  const JobSpec& spec = search.job.spec;
  return std::any_of(failed_.begin(), failed_.end(), [&](const FailedSearch& failed) {
    return failed.need.covers(search.need, spec.priority, allowed) &&
           failed.wanted <= search.wanted && failed.rights.cover(search.rights) &&
           (spec.one_zone || !failed.one_zone) && (spec.spread || !failed.spread);
  });
}

bool Preemptor::limit_fits(const Search& search) {
  Resources left = view_.limit_left(search.job.spec.team);
  left += releasing_limits_[search.job.spec.team];
  return left.times({search.need.cpus, search.need.gpus, 0}) >= search.wanted;
}

// Any less important task of the team will do.
bool Preemptor::free_limit(const Search& search, Changes& changes) {
  if (limit_fits(search)) return true;
  for (const Victim& victim : victims_of(search, of_team_[search.job.spec.team])) {
    if (limit_fits(search)) break;
    if (!victim.candidate->stopped) stop(victim, changes);
  }
  return limit_fits(search);
}

Resources Preemptor::room_on(const Search& search, const MachineView& machine) const {
  Resources room = machine.room;
  room += machine.releasing;
  if (search.own_hold != nullptr) {
    const auto held = search.own_hold->tasks.find(machine.machine->name);
    if (held != search.own_hold->tasks.end()) {
      take_room(room, search.own_hold->each, -static_cast<double>(held->second));
    }
  }
  return room;
}

// Whether a task would fit if all that could be stopped were: a quick test for most machines.
bool Preemptor::could_fit(const Search& search, const MachineView& machine) const {
  Resources room = room_on(search, machine);
  if (room.fits(search.need)) return true;
  const auto it = on_machine_.find(&machine);
  if (it == on_machine_.end()) return false;
  const auto own = static_cast<size_t>(search.job.spec.priority);
  for (size_t priority = own + 1; priority < kPriorities; ++priority) {
    room += it->second.by_priority[priority];
  }
  if (search.rights.by_guarantee) room += it->second.of_guests[own];
  return room.fits(search.need);
}

// What one more task on a machine costs, and whom it stops.
double Preemptor::price(const Search& search, MachineView& machine,
                        std::vector<Victim>& whom) const {
  whom.clear();
  const JobSpec& spec = search.job.spec;
  double loss = machine.machine->images.contains(spec.image)
                    ? 0
                    : fetch_time(spec, *view_.pool_of(machine).type);
  Resources room = room_on(search, machine);
  if (room.fits(search.need)) return loss;
  const auto there = on_machine_.find(&machine);
  if (there == on_machine_.end()) return kImpossible;
  std::set<const Job*> gangs;
  for (const Victim& victim : victims_of(search, there->second.candidates)) {
    const Job* owner = victim.candidate->owner;
    if (owner->spec.is_gang() && !gangs.insert(owner).second) continue;
    room += needs_of(owner->spec);
    loss += victim.loss;
    whom.push_back(victim);
    if (room.fits(search.need)) return loss;
  }
  return kImpossible;
}

// The cheapest machine for each task, again and again.
bool Preemptor::claim_machines(const Search& search, const std::string& zone, ZoneCounts in_zone,
                               Changes& changes, std::vector<MachineView*>& claimed) {
  using Offer = std::tuple<double, std::string, MachineView*>;
  const JobSpec& spec = search.job.spec;
  const size_t offers_most =
      std::max<size_t>(kOffersLeast, static_cast<size_t>(search.wanted) * kOffersPerTask);
  std::vector<Offer> offers;
  std::vector<Victim> whom;
  for (MachinePool& pool : view_.pools()) {
    if (!zone.empty() && pool.zone != zone) continue;
    if (!allows(spec, *pool.type, pool.zone, pool.spot)) continue;
    size_t of_pool = 0;
    for (MachineView* machine : pool.machines) {
      if (of_pool >= offers_most) break;
      if (!could_fit(search, *machine)) continue;
      ++looked_at_;
      const double loss = price(search, *machine, whom);
      if (loss < 0) continue;
      ++of_pool;
      offers.emplace_back(loss, machine->machine->name, machine);
    }
  }
  std::make_heap(offers.begin(), offers.end(), std::greater<>());
  while (claimed.size() < search.wanted && !offers.empty()) {
    std::pop_heap(offers.begin(), offers.end(), std::greater<>());
    const auto [offered, name, machine] = offers.back();
    offers.pop_back();
    const std::string& there = view_.pool_of(*machine).zone;
    if (spec.spread && in_zone[there] >= (spec.tasks + 1) / 2) continue;
    const double present = price(search, *machine, whom);
    if (present < 0) continue;
    if (present <= offered || offers.empty() || present <= std::get<0>(offers.front())) {
      for (const Victim& victim : whom) {
        if (!victim.candidate->stopped) stop(victim, changes);
      }
      changes.releasing.emplace_back(machine, machine->releasing);
      machine->releasing -= search.need;
      ++in_zone[there];
      claimed.push_back(machine);
    }
    const double again = price(search, *machine, whom);
    if (again >= 0) {
      offers.emplace_back(again, name, machine);
      std::push_heap(offers.begin(), offers.end(), std::greater<>());
    }
  }
  return claimed.size() == search.wanted;
}

void Preemptor::claim(const Search& search, const std::vector<MachineView*>& machines) {
  // A claim is made anew in every cycle, and needs no hold besides.
  if (search.own_hold != nullptr) {
    view_.free_held(*search.own_hold);
    holds_.release(search.job.id());
  }
  // What is free of it already is kept from less important work, too.
  for (MachineView* machine : machines) {
    machine->releasing += search.need;
    machine->room -= search.need;
  }
  view_.take_limit(search.job, search.wanted);
}

void Preemptor::append_preemptions(const Search& search, const Changes& changes,
                                   std::vector<Preemption>& out) {
  for (const Victim& victim : changes.victims) {
    out.push_back({victim.candidate->owner->id(), victim.candidate->placement->task, victim.save,
                   search.job.id()});
  }
}

void Preemptor::make_room(const Job& job, const PreemptionRights& rights,
                          std::vector<Preemption>& out) {
  survey();
  const std::uint32_t wanted = job.spec.is_gang() ? job.waiting() : 1;
  if (wanted == 0) return;
  const Seconds start = next_start(view_.cluster(), job, view_.now()).value_or(kNoLimit);
  const Search search{
      job, rights, needs_of(job.spec), wanted, start - view_.now(), holds_.find(job.id())};
  const auto allowed = view_.allowed_pools(job.spec);
  if (search.own_hold == nullptr && already_failed(search, allowed)) return;
  const auto live = view_.live_zones(job);
  if (!live) return;

  Changes changes;
  changes.releasing_limits = releasing_limits_;
  if (!free_limit(search, changes)) {
    undo(changes);
    return;
  }
  std::vector<std::string> zones{""};
  if (job.spec.one_zone) zones = view_.cluster().settings().zones;
  if (job.spec.one_zone && !live->empty()) zones = {live->begin()->first};
  for (const auto& zone : zones) {
    // Nothing is stopped in a zone that in the end does not take the job.
    Changes in_zone;
    in_zone.releasing_limits = releasing_limits_;
    std::vector<MachineView*> claimed;
    if (claim_machines(search, zone, *live, in_zone, claimed)) {
      claim(search, claimed);
      append_preemptions(search, changes, out);
      append_preemptions(search, in_zone, out);
      return;
    }
    undo(in_zone);
  }
  undo(changes);
  // Of a job that has tasks somewhere its zones are narrowed down: that says nothing of others.
  if (live->empty() && search.own_hold == nullptr) {
    failed_.push_back({{allowed, search.need, job.spec.priority},
                       rights,
                       wanted,
                       job.spec.one_zone,
                       job.spec.spread});
  }
}

}  // namespace larkroad::coordination
