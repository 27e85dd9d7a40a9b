#include "coordination/scaling/autoscaler.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

#include "coordination/scheduling/forecast.hpp"
#include "coordination/scheduling/job_queue.hpp"
#include "coordination/scheduling/replica_migration.hpp"

namespace larkroad::coordination {
namespace {

// A machine that has not come up after this many times its usual boot time never will.
constexpr double kBootPatience = 4;
// The cloud charges a machine for at least a minute.
constexpr Seconds kShortestRental = 60;
// An idle machine is kept for this many times what it takes to boot another.
constexpr double kIdlePatience = 1;

// A silent machine is waited for this many times what it takes to boot another.
constexpr double kSilentPatience = 1;

struct Space {
  const MachineType* type;
  std::string zone;
  bool spot;
  Resources room;
  const Machine* machine = nullptr;  // null: on order
  bool wanted = false;               // something is, or may soon be, placed here
  bool full = false;                 // no waiting task fits any more
};

// A market that has not just refused a rental.
struct OpenMarket {
  const MachineType* type;
  Market market;
  int rented;  // in this round
};

double hourly(const MachineType& type, bool spot) { return spot ? type.spot_price : type.price; }

class Round {
 public:
  Round(ClusterState& cluster, const CapacityBackoff& refusals,
        const std::map<Market, int>& pending, Seconds now)
      : cluster_(cluster), refusals_(refusals), now_(now) {
    // Room that is there or on its way.
    for (const auto& [name, machine] : cluster.machines()) {
      const MachineType* type = cluster.type(machine.type);
      if (type == nullptr || machine.being_released || machine.reclaimed_at || machine.quarantined)
        continue;
      if (machine.lease_expired && given_up(machine, *type)) continue;
      if (!machine.has_reported && now - machine.rented_at > kBootPatience * type->boot_s) continue;
      spaces_.push_back(
          {type, machine.zone, machine.spot, machine.room(), &machine, !machine.tasks.empty()});
    }
    // What is in use is filled up first, so that what is idle shows; then the cheap.
    std::stable_sort(spaces_.begin(), spaces_.end(), [](const Space& a, const Space& b) {
      if (a.wanted != b.wanted) return a.wanted;
      return hourly(*a.type, a.spot) < hourly(*b.type, b.spot);
    });
    for (const auto& type : cluster.types()) {
      for (const auto& zone : type.zones) {
        for (const bool spot : {true, false}) {
          const Market market{type.name, zone, spot};
          if (refusals.open(market, now)) open_markets_.push_back({&type, market, 0});
        }
      }
    }
    for (const auto& [market, count] : pending) {
      const MachineType* type = cluster.type(market.type);
      for (int i = 0; type != nullptr && i < count; ++i) {
        spaces_.push_back({type, market.zone, market.spot, capacity_of(*type)});
      }
    }
  }

  ScalingPlan run(Seconds start_bound) {
    ScalingPlan out;
    // Most machines of a busy fleet are full: they are passed over once, not once for each job.
    const auto forecasts = forecast(cluster_, now_);
    least_ = smallest_waiting_need(cluster_);
    for (const auto& f : forecasts) {
      const Resources need = needs_of(*f.spec);
      least_ = least_ ? least_of(*least_, need) : need;
    }
    for (Space& space : spaces_) space.full = !least_ || !space.room.fits(*least_);
    for (Job* job : order_jobs(cluster_, now_, start_bound)) {
      // Nothing is rented for what fails everywhere but for its next try.
      if (job->fails_everywhere() && now_ < job->retry_at) continue;
      const bool one_task = job->fails_everywhere() && !job->spec.is_gang();
      cover(job->spec, one_task ? 1 : job->waiting(), zones_for(*job));
    }
    for (const ReplicaMigration& move : replicas_to_migrate(cluster_)) {
      cover(cluster_.job(move.job)->spec, 1, {});
    }
    for (const auto& f : forecasts) {
      cover(*f.spec, static_cast<std::uint32_t>(std::ceil(f.missing())), {});
    }
    for (const OpenMarket& option : open_markets_) {
      if (option.rented > 0) out.scale_out.push_back({option.market, option.rented});
    }
    release_machines(out);
    return out;
  }

 private:
  // A machine whose lease has run out unanswered is waited for as long as another would take to
  // boot: one that hung or was cut off comes back with its images. Without this many machines that
  // hung for a little longer than their lease all went back, and were rented anew. The list tells
  // of one that is gone for good.
  bool given_up(const Machine& machine, const MachineType& type) const {
    return now_ - machine.lease_expired_at > kSilentPatience * type.boot_s;
  }

  // How many more of a job's tasks each zone may take; empty: as many as there is room for.
  using ZoneLimits = std::map<std::string, std::uint32_t>;

  ZoneLimits zones_for(const Job& job) {
    ZoneLimits out;
    if (job.spec.tasks == 1 || (!job.spec.spread && !job.spec.one_zone)) return out;
    std::map<std::string, std::uint32_t> live;
    std::string live_zone;
    for (const auto& [task, placement] : job.placements) {
      const Machine* machine = cluster_.find_machine(placement.machine);
      if (machine == nullptr) continue;
      ++live[machine->zone];
      live_zone = machine->zone;
    }
    const auto& zones = cluster_.settings().zones;
    if (job.spec.spread) {
      const std::uint32_t most = (job.spec.tasks + 1) / 2;
      for (const auto& zone : zones) out[zone] = most - std::min(most, live[zone]);
      return out;
    }
    // All in one zone: where it is already, or where room for all of it is, or where more can be
    // rented; of several such zones one that has room for half of it, and then the one that has
    // been given the least in this round. Choosing by room alone sent all gangs to one zone, whose
    // machines were soon rented out.
    if (live_zone.empty()) {
      std::tuple<bool, bool, bool, double> best{};
      for (const auto& zone : zones) {
        double room = 0;
        for (const Space& space : spaces_) {
          if (!space.full && space.zone == zone &&
              allows(job.spec, *space.type, zone, space.spot)) {
            room += space.room.times(needs_of(job.spec));
          }
        }
        bool possible = false;
        bool rentable = false;
        for (const auto& type : cluster_.types()) {
          if (std::find(type.zones.begin(), type.zones.end(), zone) == type.zones.end()) continue;
          for (const bool spot : {true, false}) {
            if (!allows(job.spec, type, zone, spot)) continue;
            possible = true;
            rentable = rentable || refusals_.open({type.name, zone, spot}, now_);
          }
        }
        if (!possible) continue;
        const auto given = given_.find(zone);
        const std::tuple<bool, bool, bool, double> rank{room >= job.waiting(), rentable,
                                                        2 * room >= job.waiting(),
                                                        given == given_.end() ? 0 : -given->second};
        if (live_zone.empty() || rank > best) {
          best = rank;
          live_zone = zone;
        }
      }
      given_[live_zone] += job.waiting();
    }
    for (const auto& zone : zones) out[zone] = zone == live_zone ? job.spec.tasks : 0;
    return out;
  }

  // Finds room for `count` tasks, in what is there and then in what could be rented.
  void cover(const JobSpec& spec, std::uint32_t count, ZoneLimits zones) {
    const auto zone_left = [&zones](const std::string& zone) {
      if (zones.empty()) return protocol::kMaxTasksPerJob;
      const auto it = zones.find(zone);
      return it == zones.end() ? 0 : it->second;
    };
    const TeamSettings* team = cluster_.settings().team(spec.team);
    if (team == nullptr) return;
    Resources used = cluster_.used_by(spec.team);
    used += taken_[spec.team];
    const Resources left{team->cpus_max - used.cpus, team->gpus_max - used.gpus, kNoLimit};
    count = std::min(count, left.times({spec.cpus, spec.gpus, 0}));
    const Resources need = needs_of(spec);
    const auto take = [&](Space& space) {
      const std::uint32_t fit = std::min({count, space.room.times(need), zone_left(space.zone)});
      for (std::uint32_t i = 0; i < fit; ++i) {
        space.room -= need;
        taken_[spec.team] += need;
      }
      if (fit > 0) space.wanted = true;
      space.full = !space.room.fits(*least_);
      count -= fit;
      if (!zones.empty()) zones[space.zone] -= fit;
    };
    for (Space& space : spaces_) {
      if (count == 0) return;
      if (!space.full && allows(spec, *space.type, space.zone, space.spot)) take(space);
    }
    while (count > 0) {
      // The market with the lowest price for each task that it takes.
      OpenMarket* best = nullptr;
      double best_price = 0;
      for (OpenMarket& option : open_markets_) {
        const auto& [type, market, rented] = option;
        if (rented >= protocol::kMaxRentalCount || zone_left(market.zone) == 0) continue;
        if (!allows(spec, *type, market.zone, market.spot)) continue;
        const double fits = std::min<double>(count, capacity_of(*type).times(need));
        const double price = hourly(*type, market.spot) / fits;
        if (best == nullptr || price < best_price) {
          best = &option;
          best_price = price;
        }
      }
      if (best == nullptr) return;
      ++best->rented;
      const Market& market = best->market;
      spaces_.push_back({best->type, market.zone, market.spot, capacity_of(*best->type)});
      take(spaces_.back());
    }
  }

  void release_machines(ScalingPlan& out) const {
    std::set<std::string> wanted;
    for (const Space& space : spaces_) {
      if (space.machine != nullptr && space.wanted) wanted.insert(space.machine->name);
    }
    for (const auto& [name, machine] : cluster_.machines()) {
      const MachineType* type = cluster_.type(machine.type);
      if (type == nullptr || machine.being_released) continue;
      if (!machine.has_reported) {
        if (machine.tasks.empty() && now_ - machine.rented_at > kBootPatience * type->boot_s) {
          out.scale_in.push_back(name);
        }
        continue;
      }
      if (machine.lease_expired) {
        if (given_up(machine, *type)) out.scale_in.push_back(name);
        continue;
      }
      if (!machine.tasks.empty()) continue;
      if (machine.quarantined ||
          (!wanted.contains(name) && now_ - machine.idle_since > kIdlePatience * type->boot_s &&
           now_ - machine.rented_at > kShortestRental)) {
        out.scale_in.push_back(name);
      }
    }
  }

  ClusterState& cluster_;
  const CapacityBackoff& refusals_;
  Seconds now_;
  std::vector<Space> spaces_;
  std::map<std::string, Resources> taken_;
  std::vector<OpenMarket> open_markets_;
  std::optional<Resources> least_;
  std::map<std::string, double> given_;  // tasks of gangs bound to one zone, by zone
};

}  // namespace

void CapacityBackoff::refused(const Market& market, Seconds now, Seconds first_pause,
                              Seconds longest_pause) {
  Pause& pause = pauses_[market];
  pause.length = pause.length == 0 ? first_pause : std::min(pause.length * 2, longest_pause);
  pause.until = now + pause.length;
}

bool CapacityBackoff::open(const Market& market, Seconds now) const {
  const auto it = pauses_.find(market);
  return it == pauses_.end() || now >= it->second.until;
}

ScalingPlan plan_scaling(ClusterState& cluster, const CapacityBackoff& refusals,
                         const std::map<Market, int>& pending, Seconds now, Seconds start_bound) {
  return Round(cluster, refusals, pending, now).run(start_bound);
}

}  // namespace larkroad::coordination
