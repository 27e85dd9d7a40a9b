#include "coordination/scaling/autoscaler.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

#include "coordination/scheduling/forecast.hpp"
#include "coordination/scheduling/job_queue.hpp"
#include "coordination/scheduling/replica_migration.hpp"
#include "coordination/scheduling/zone_constraints.hpp"

namespace larkroad::coordination {
namespace {

// A machine that has not come up after this many times its usual boot time never will.
constexpr double kBootPatience = 4;
// The cloud charges a machine for at least a minute.
constexpr Seconds kMinimumCharge = 60;
// An idle machine is kept for this many times what it takes to boot another.
constexpr double kIdlePatience = 1;
// A machine whose lease has expired is waited for this many times what it takes to boot another.
constexpr double kExpiredPatience = 1;

// Room for tasks on a machine that is there or has been requested.
struct MachineRoom {
  const MachineType* type;
  std::string zone;
  bool spot;
  Resources room;
  const Machine* machine = nullptr;  // null: requested
  bool needed = false;               // some task is, or may soon be, placed here
  bool full = false;                 // no waiting task fits any more
};

// A market in which machines may be requested.
struct OpenMarket {
  const MachineType* type;
  Market market;
  int requested;  // in this round
};

// How many more of a job's tasks each zone may take.
class ZoneLimits {
 public:
  void set(const std::string& zone, std::uint32_t tasks) { limits_[zone] = tasks; }
  std::uint32_t left(const std::string& zone) const {
    if (limits_.empty()) return protocol::kMaxTasksPerJob;
    const auto it = limits_.find(zone);
    return it == limits_.end() ? 0 : it->second;
  }
  void take(const std::string& zone, std::uint32_t tasks) {
    if (!limits_.empty()) limits_[zone] -= tasks;
  }

 private:
  std::map<std::string, std::uint32_t> limits_;  // empty: as many as there is room for
};

// Tasks that are to find room.
struct Demand {
  const JobSpec& spec;
  Resources need;  // of one task
  std::uint32_t count;
  ZoneLimits zones;
};

// How well a zone suits a gang that must run in one zone; the greater, the better. Choosing by room
// alone sent all gangs to one zone, in which the cloud soon had no machines left.
struct ZoneRank {
  bool has_room;
  bool can_scale_out;
  bool has_half_the_room;
  double fewer_gang_tasks;  // less what has been assigned to the zone in this round
  // clang-tidy 14 takes the compared zero for a null pointer and for a boolean.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
  auto operator<=>(const ZoneRank&) const = default;
};

double hourly_price(const MachineType& type, bool spot) {
  return spot ? type.spot_price : type.price;
}

bool never_booted(const Machine& machine, const MachineType& type, Seconds now) {
  return !machine.has_reported && now - machine.rented_at > kBootPatience * type.boot_s;
}

// A machine whose lease has expired is waited for as long as another would take to boot: one that
// hung or was cut off comes back with its images. Without this many machines that hung for a little
// longer than their lease were all returned, and requested anew. A machine that has gone for good
// disappears from the cloud's list.
bool is_lost(const Machine& machine, const MachineType& type, Seconds now) {
  return machine.lease_expired && now - machine.lease_expired_at > kExpiredPatience * type.boot_s;
}

// One round of scaling.
class ScalingRound {
 public:
  ScalingRound(ClusterState& cluster, const CapacityBackoff& backoff, Seconds now)
      : cluster_(cluster), backoff_(backoff), now_(now) {}

  ScalingPlan run(const std::map<Market, int>& pending, Seconds start_bound) {
    add_machines();
    add_open_markets();
    add_pending(pending);
    const auto forecasts = forecast(cluster_, now_);
    mark_full(forecasts);
    for (Job* job : order_jobs(cluster_, now_, start_bound)) cover_job(*job);
    for (const ReplicaMigration& migration : replicas_to_migrate(cluster_)) {
      cover(cluster_.job(migration.job)->spec, 1, {});
    }
    for (const Forecast& expected : forecasts) {
      cover(*expected.spec, static_cast<std::uint32_t>(std::ceil(expected.missing())), {});
    }
    return {machines_to_request(), machines_to_return()};
  }

 private:
  void add_machines() {
    for (const auto& [name, machine] : cluster_.machines()) {
      const MachineType* type = cluster_.type(machine.type);
      if (type == nullptr || machine.being_released) continue;
      if (machine.reclaimed_at || machine.quarantined) continue;
      if (is_lost(machine, *type, now_) || never_booted(machine, *type, now_)) continue;
      rooms_.push_back(
          {type, machine.zone, machine.spot, machine.room(), &machine, !machine.tasks.empty()});
    }
    // What is in use is filled up first, so that what is idle shows; then the cheap.
    std::stable_sort(rooms_.begin(), rooms_.end(), [](const MachineRoom& a, const MachineRoom& b) {
      if (a.needed != b.needed) return a.needed;
      return hourly_price(*a.type, a.spot) < hourly_price(*b.type, b.spot);
    });
  }

  void add_open_markets() {
    for (const MachineType& type : cluster_.types()) {
      for (const auto& zone : type.zones) {
        for (const bool spot : {true, false}) {
          const Market market{type.name, zone, spot};
          if (backoff_.may_request(market, now_)) open_markets_.push_back({&type, market, 0});
        }
      }
    }
  }

  void add_pending(const std::map<Market, int>& pending) {
    for (const auto& [market, count] : pending) {
      const MachineType* type = cluster_.type(market.type);
      if (type == nullptr) continue;
      for (int i = 0; i < count; ++i) add_requested(*type, market);
    }
  }

  MachineRoom& add_requested(const MachineType& type, const Market& market) {
    rooms_.push_back({&type, market.zone, market.spot, capacity_of(type)});
    return rooms_.back();
  }

  // Most machines of a busy fleet are full: they are skipped once, not once for each job.
  void mark_full(const std::vector<Forecast>& forecasts) {
    smallest_need_ = smallest_waiting_need(cluster_);
    for (const Forecast& expected : forecasts) {
      const Resources need = needs_of(*expected.spec);
      smallest_need_ = smallest_need_ ? least_of(*smallest_need_, need) : need;
    }
    for (MachineRoom& room : rooms_) {
      room.full = !smallest_need_ || !room.room.fits(*smallest_need_);
    }
  }

  void cover_job(const Job& job) {
    // For what fails everywhere machines are requested only for its next try.
    if (job.fails_everywhere() && now_ < job.retry_at) return;
    const bool one_task = job.fails_everywhere() && !job.spec.is_gang();
    cover(job.spec, one_task ? 1 : job.waiting(), zone_limits(job));
  }

  ZoneLimits zone_limits(const Job& job) {
    if (job.spec.tasks == 1) return {};
    if (job.spec.spread) return spread_limits(job);
    if (job.spec.one_zone) return one_zone_limits(job);
    return {};
  }

  ZoneLimits spread_limits(const Job& job) const {
    ZoneCounts live;
    for (const auto& [task, placement] : job.placements) {
      if (const Machine* machine = cluster_.find_machine(placement.machine)) ++live[machine->zone];
    }
    const std::uint32_t most = max_tasks_per_zone(job.spec);
    ZoneLimits out;
    for (const auto& zone : cluster_.settings().zones) {
      out.set(zone, most - std::min(most, live[zone]));
    }
    return out;
  }

  ZoneLimits one_zone_limits(const Job& job) {
    auto zone = live_zone(job);
    if (!zone) zone = assign_zone(job);
    ZoneLimits out;
    for (const auto& other : cluster_.settings().zones) {
      out.set(other, other == zone ? job.spec.tasks : 0);
    }
    return out;
  }

  // The zone in which the job runs already; none when it has no live task or its zone is not known.
  std::optional<std::string> live_zone(const Job& job) const {
    std::optional<std::string> out;
    for (const auto& [task, placement] : job.placements) {
      if (const Machine* machine = cluster_.find_machine(placement.machine)) out = machine->zone;
    }
    if (out && out->empty()) out.reset();
    return out;
  }

  // The zone that suits the job best; none when no zone has machines for it.
  std::optional<std::string> assign_zone(const Job& job) {
    std::optional<std::string> best;
    std::optional<ZoneRank> best_rank;
    for (const auto& zone : cluster_.settings().zones) {
      const auto rank = zone_rank(job, zone);
      if (!rank || (best_rank && *rank <= *best_rank)) continue;
      best_rank = rank;
      best = zone;
    }
    if (best) gang_tasks_[*best] += job.waiting();
    return best;
  }

  // None when no type of machine there may run the job.
  std::optional<ZoneRank> zone_rank(const Job& job, const std::string& zone) const {
    bool possible = false;
    bool can_scale_out = false;
    for (const MachineType& type : cluster_.types()) {
      if (std::find(type.zones.begin(), type.zones.end(), zone) == type.zones.end()) continue;
      for (const bool spot : {true, false}) {
        if (!allows(job.spec, type, zone, spot)) continue;
        possible = true;
        can_scale_out = can_scale_out || backoff_.may_request({type.name, zone, spot}, now_);
      }
    }
    if (!possible) return std::nullopt;
    const double room = tasks_that_fit(job, zone);
    const auto assigned = gang_tasks_.find(zone);
    return ZoneRank{room >= job.waiting(), can_scale_out, 2 * room >= job.waiting(),
                    assigned == gang_tasks_.end() ? 0 : -assigned->second};
  }

  double tasks_that_fit(const Job& job, const std::string& zone) const {
    double tasks = 0;
    for (const MachineRoom& room : rooms_) {
      if (room.full || room.zone != zone) continue;
      if (allows(job.spec, *room.type, zone, room.spot)) {
        tasks += room.room.times(needs_of(job.spec));
      }
    }
    return tasks;
  }

  // Finds room for `count` tasks, on machines that are there and then on some to be requested.
  void cover(const JobSpec& spec, std::uint32_t count, ZoneLimits zones) {
    if (cluster_.settings().team(spec.team) == nullptr) return;
    const Resources quota = quota_left(cluster_, spec.team, planned_[spec.team]);
    const std::uint32_t allowed = std::min(count, tasks_within(quota, spec));
    Demand demand{spec, needs_of(spec), allowed, std::move(zones)};
    for (MachineRoom& room : rooms_) {
      if (demand.count == 0) return;
      if (!room.full && allows(spec, *room.type, room.zone, room.spot)) fill(room, demand);
    }
    while (demand.count > 0) {
      OpenMarket* cheapest = cheapest_market(demand);
      if (cheapest == nullptr) return;
      ++cheapest->requested;
      fill(add_requested(*cheapest->type, cheapest->market), demand);
    }
  }

  void fill(MachineRoom& room, Demand& demand) {
    const std::uint32_t tasks =
        std::min({demand.count, room.room.times(demand.need), demand.zones.left(room.zone)});
    for (std::uint32_t i = 0; i < tasks; ++i) {
      room.room -= demand.need;
      planned_[demand.spec.team] += demand.need;
    }
    if (tasks > 0) room.needed = true;
    room.full = !room.room.fits(*smallest_need_);
    demand.count -= tasks;
    demand.zones.take(room.zone, tasks);
  }

  // The market with the lowest price for each task that a machine of it takes; null when none may
  // be used.
  OpenMarket* cheapest_market(const Demand& demand) {
    OpenMarket* cheapest = nullptr;
    double lowest_price = 0;
    for (OpenMarket& option : open_markets_) {
      const auto& [type, market, requested] = option;
      if (requested >= protocol::kMaxRentalCount || demand.zones.left(market.zone) == 0) continue;
      if (!allows(demand.spec, *type, market.zone, market.spot)) continue;
      const double fits = std::min<double>(demand.count, capacity_of(*type).times(demand.need));
      const double price = hourly_price(*type, market.spot) / fits;
      if (cheapest == nullptr || price < lowest_price) {
        cheapest = &option;
        lowest_price = price;
      }
    }
    return cheapest;
  }

  std::vector<ScaleOut> machines_to_request() const {
    std::vector<ScaleOut> out;
    for (const OpenMarket& option : open_markets_) {
      if (option.requested > 0) out.push_back({option.market, option.requested});
    }
    return out;
  }

  std::vector<std::string> machines_to_return() const {
    std::set<std::string> needed;
    for (const MachineRoom& room : rooms_) {
      if (room.machine != nullptr && room.needed) needed.insert(room.machine->name);
    }
    std::vector<std::string> out;
    for (const auto& [name, machine] : cluster_.machines()) {
      const MachineType* type = cluster_.type(machine.type);
      if (type == nullptr || machine.being_released) continue;
      if (is_to_be_returned(machine, *type, needed.contains(name))) out.push_back(name);
    }
    return out;
  }

  bool is_to_be_returned(const Machine& machine, const MachineType& type, bool needed) const {
    if (!machine.has_reported) return machine.tasks.empty() && never_booted(machine, type, now_);
    if (machine.lease_expired) return is_lost(machine, type, now_);
    if (!machine.tasks.empty()) return false;
    if (machine.quarantined) return true;
    return !needed && now_ - machine.idle_since > kIdlePatience * type.boot_s &&
           now_ - machine.rented_at > kMinimumCharge;
  }

  ClusterState& cluster_;
  const CapacityBackoff& backoff_;
  Seconds now_;
  std::vector<MachineRoom> rooms_;
  std::vector<OpenMarket> open_markets_;
  std::map<std::string, Resources> planned_;  // for tasks that have found room, by team
  std::optional<Resources> smallest_need_;
  std::map<std::string, double> gang_tasks_;  // of gangs assigned to one zone, by zone
};

}  // namespace

void CapacityBackoff::record_failure(const Market& market, Seconds now, Seconds first_pause,
                                     Seconds longest_pause) {
  Pause& pause = pauses_[market];
  pause.length = pause.length == 0 ? first_pause : std::min(pause.length * 2, longest_pause);
  pause.until = now + pause.length;
}

bool CapacityBackoff::may_request(const Market& market, Seconds now) const {
  const auto it = pauses_.find(market);
  return it == pauses_.end() || now >= it->second.until;
}

ScalingPlan plan_scaling(ClusterState& cluster, const CapacityBackoff& backoff,
                         const std::map<Market, int>& pending, Seconds now, Seconds start_bound) {
  return ScalingRound(cluster, backoff, now).run(pending, start_bound);
}

}  // namespace larkroad::coordination
