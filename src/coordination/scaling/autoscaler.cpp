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

// Boot timeout, as a multiple of the machine type's usual boot time.
constexpr double kBootTimeoutFactor = 4;
// The cloud bills at least one minute for a machine.
constexpr Seconds kMinimumBilledTime = 60;
// How long an idle machine is kept, as a multiple of its type's boot time.
constexpr double kIdleTimeoutFactor = 1;
// How long a machine with an expired lease may take to return, as a multiple of its type's boot
// time.
constexpr double kExpiredLeaseTimeoutFactor = 1;

// A machine that exists, is being rented or is to be requested, with the capacity that is left on
// it as the round assigns tasks.
struct PlannedMachine {
  const MachineType* type;
  std::string zone;
  bool spot;
  Resources free;
  const Machine* machine = nullptr;  // null: not yet granted by the cloud
  bool needed = false;               // runs a task or is planned to
  bool full = false;                 // too little capacity left for any waiting task
};

// A market that is not in backoff.
struct OpenMarket {
  const MachineType* type;
  Market market;
  int requested;  // machines, in this round
};

// The number of further tasks of a job that may be placed in each zone.
class ZoneLimits {
 public:
  void set(const std::string& zone, std::uint32_t tasks) { limits_[zone] = tasks; }
  std::uint32_t left(const std::string& zone) const {
    if (limits_.empty()) return protocol::kMaxTasksPerJob;
    const auto it = limits_.find(zone);
    return it == limits_.end() ? 0 : it->second;
  }
  void consume(const std::string& zone, std::uint32_t tasks) {
    if (!limits_.empty()) limits_[zone] -= tasks;
  }

 private:
  std::map<std::string, std::uint32_t> limits_;  // empty: unlimited
};

// Tasks with the same spec that need capacity.
struct Demand {
  const JobSpec& spec;
  Resources need;  // of one task
  std::uint32_t count;
  ZoneLimits zones;
};

// Rank of a zone for a gang that must run in one zone; the greatest is chosen. Ranking by free
// capacity alone would send all gangs to the same zone and exhaust the cloud's capacity there.
struct ZoneRank {
  bool has_capacity;
  bool can_scale_out;
  bool has_half_capacity;
  double negated_gang_tasks;  // minus the gang tasks assigned to the zone in this round
  // clang-tidy 14 mistakes the zero that the comparison uses for a null pointer and a boolean.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
  auto operator<=>(const ZoneRank&) const = default;
};

double hourly_price(const MachineType& type, bool spot) {
  return spot ? type.spot_price : type.price;
}

bool boot_timed_out(const Machine& machine, const MachineType& type, Seconds now) {
  return !machine.has_reported && now - machine.rented_at > kBootTimeoutFactor * type.boot_s;
}

// A machine whose lease has expired is kept for as long as a replacement would take to boot: one
// that hung or was cut off comes back with its image cache. Otherwise a short hang of many
// machines, slightly longer than the lease, would release them all and rent new ones. A machine
// that has terminated disappears from the cloud's list.
bool is_lost(const Machine& machine, const MachineType& type, Seconds now) {
  return machine.lease_expired &&
         now - machine.lease_expired_at > kExpiredLeaseTimeoutFactor * type.boot_s;
}

// Computes the plan of one scaling round.
class ScalingRound {
 public:
  ScalingRound(ClusterState& cluster, const CapacityBackoff& backoff, Seconds now)
      : cluster_(cluster), backoff_(backoff), now_(now) {}

  ScalingPlan run(const std::map<Market, int>& pending, Seconds start_bound) {
    add_existing_machines();
    add_open_markets();
    add_pending_machines(pending);
    const auto forecasts = forecast(cluster_, now_);
    mark_full(forecasts);
    for (Job* job : order_jobs(cluster_, now_, start_bound)) plan_capacity_for_job(*job);
    for (const ReplicaMigration& migration : replicas_to_migrate(cluster_)) {
      plan_capacity(cluster_.job(migration.job)->spec, 1, {});
    }
    for (const Forecast& expected : forecasts) {
      plan_capacity(*expected.spec, static_cast<std::uint32_t>(std::ceil(expected.missing())), {});
    }
    return {machines_to_request(), machines_to_release()};
  }

 private:
  void add_existing_machines() {
    for (const auto& [name, machine] : cluster_.machines()) {
      const MachineType* type = cluster_.type(machine.type);
      if (type == nullptr || machine.being_released) continue;
      if (machine.reclaim_at || machine.quarantined) continue;
      if (is_lost(machine, *type, now_) || boot_timed_out(machine, *type, now_)) continue;
      hosts_.push_back({type, machine.zone, machine.spot, machine.available(), &machine,
                        !machine.tasks.empty()});
    }
    // Machines in use are filled first, so that idle ones can be released; then the cheapest.
    std::stable_sort(hosts_.begin(), hosts_.end(),
                     [](const PlannedMachine& a, const PlannedMachine& b) {
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

  void add_pending_machines(const std::map<Market, int>& pending) {
    for (const auto& [market, count] : pending) {
      const MachineType* type = cluster_.type(market.type);
      if (type == nullptr) continue;
      for (int i = 0; i < count; ++i) add_requested(*type, market);
    }
  }

  PlannedMachine& add_requested(const MachineType& type, const Market& market) {
    hosts_.push_back({&type, market.zone, market.spot, capacity_of(type)});
    return hosts_.back();
  }

  // Marks hosts without capacity for any waiting task, so that they are not checked again for
  // each job: on a busy fleet most machines are full.
  void mark_full(const std::vector<Forecast>& forecasts) {
    smallest_need_ = smallest_waiting_need(cluster_);
    for (const Forecast& expected : forecasts) {
      const Resources need = needs_of(*expected.spec);
      smallest_need_ = smallest_need_ ? component_min(*smallest_need_, need) : need;
    }
    for (PlannedMachine& host : hosts_) {
      host.full = !smallest_need_ || !host.free.fits(*smallest_need_);
    }
  }

  void plan_capacity_for_job(const Job& job) {
    // A job that fails on every machine gets capacity only when its next retry is due.
    if (job.fails_everywhere() && now_ < job.retry_at) return;
    const bool one_task = job.fails_everywhere() && !job.spec.is_gang();
    plan_capacity(job.spec, one_task ? 1 : job.waiting(), zone_limits(job));
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
    const std::uint32_t max_tasks = max_tasks_per_zone(job.spec);
    ZoneLimits out;
    for (const auto& zone : cluster_.settings().zones) {
      out.set(zone, max_tasks - std::min(max_tasks, live[zone]));
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

  // The zone in which the job already runs; none when it has no live task or the zone is unknown.
  std::optional<std::string> live_zone(const Job& job) const {
    std::optional<std::string> out;
    for (const auto& [task, placement] : job.placements) {
      if (const Machine* machine = cluster_.find_machine(placement.machine)) out = machine->zone;
    }
    if (out && out->empty()) out.reset();
    return out;
  }

  // Chooses the zone of the highest rank and counts the job's tasks there; none when no zone offers
  // an allowed machine type.
  std::optional<std::string> assign_zone(const Job& job) {
    std::optional<std::string> best;
    std::optional<ZoneRank> best_rank;
    for (const auto& zone : cluster_.settings().zones) {
      const auto rank = zone_rank(job, zone);
      if (!rank || (best_rank && *rank <= *best_rank)) continue;
      best_rank = rank;
      best = zone;
    }
    if (best) gang_tasks_by_zone_[*best] += job.waiting();
    return best;
  }

  // None when no machine type offered in the zone may run the job.
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
    const double fitting = tasks_that_fit(job, zone);
    const auto assigned = gang_tasks_by_zone_.find(zone);
    return ZoneRank{fitting >= job.waiting(), can_scale_out, 2 * fitting >= job.waiting(),
                    assigned == gang_tasks_by_zone_.end() ? 0 : -assigned->second};
  }

  double tasks_that_fit(const Job& job, const std::string& zone) const {
    double tasks = 0;
    for (const PlannedMachine& host : hosts_) {
      if (host.full || host.zone != zone) continue;
      if (allows(job.spec, *host.type, zone, host.spot)) {
        tasks += host.free.max_fitting(needs_of(job.spec));
      }
    }
    return tasks;
  }

  // Assigns `count` tasks, within the team's quota, to existing and pending machines and then to
  // machines to be requested.
  void plan_capacity(const JobSpec& spec, std::uint32_t count, ZoneLimits zones) {
    if (cluster_.settings().team(spec.team) == nullptr) return;
    const Resources quota = quota_left(cluster_, spec.team, planned_use_[spec.team]);
    const std::uint32_t allowed = std::min(count, tasks_within(quota, spec));
    Demand demand{spec, needs_of(spec), allowed, std::move(zones)};
    for (PlannedMachine& host : hosts_) {
      if (demand.count == 0) return;
      if (!host.full && allows(spec, *host.type, host.zone, host.spot)) assign_tasks(host, demand);
    }
    while (demand.count > 0) {
      OpenMarket* cheapest = cheapest_market(demand);
      if (cheapest == nullptr) return;
      ++cheapest->requested;
      assign_tasks(add_requested(*cheapest->type, cheapest->market), demand);
    }
  }

  void assign_tasks(PlannedMachine& host, Demand& demand) {
    const std::uint32_t tasks =
        std::min({demand.count, host.free.max_fitting(demand.need), demand.zones.left(host.zone)});
    for (std::uint32_t i = 0; i < tasks; ++i) {
      host.free -= demand.need;
      planned_use_[demand.spec.team] += demand.need;
    }
    if (tasks > 0) host.needed = true;
    host.full = !host.free.fits(*smallest_need_);
    demand.count -= tasks;
    demand.zones.consume(host.zone, tasks);
  }

  // The market with the lowest price per task that fits on one of its machines; null when no market
  // can be used.
  OpenMarket* cheapest_market(const Demand& demand) {
    OpenMarket* cheapest = nullptr;
    double lowest_price = 0;
    for (OpenMarket& option : open_markets_) {
      const auto& [type, market, requested] = option;
      if (requested >= protocol::kMaxRentalCount || demand.zones.left(market.zone) == 0) continue;
      if (!allows(demand.spec, *type, market.zone, market.spot)) continue;
      const double fits =
          std::min<double>(demand.count, capacity_of(*type).max_fitting(demand.need));
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

  std::vector<std::string> machines_to_release() const {
    std::set<std::string> needed;
    for (const PlannedMachine& host : hosts_) {
      if (host.machine != nullptr && host.needed) needed.insert(host.machine->name);
    }
    std::vector<std::string> out;
    for (const auto& [name, machine] : cluster_.machines()) {
      const MachineType* type = cluster_.type(machine.type);
      if (type == nullptr || machine.being_released) continue;
      if (should_release(machine, *type, needed.contains(name))) out.push_back(name);
    }
    return out;
  }

  bool should_release(const Machine& machine, const MachineType& type, bool needed) const {
    if (!machine.has_reported) return machine.tasks.empty() && boot_timed_out(machine, type, now_);
    if (machine.lease_expired) return is_lost(machine, type, now_);
    if (!machine.tasks.empty()) return false;
    if (machine.quarantined) return true;
    return !needed && now_ - machine.idle_since > kIdleTimeoutFactor * type.boot_s &&
           now_ - machine.rented_at > kMinimumBilledTime;
  }

  ClusterState& cluster_;
  const CapacityBackoff& backoff_;
  Seconds now_;
  std::vector<PlannedMachine> hosts_;
  std::vector<OpenMarket> open_markets_;
  std::map<std::string, Resources> planned_use_;  // of tasks assigned in this round, by team
  std::optional<Resources> smallest_need_;
  std::map<std::string, double> gang_tasks_by_zone_;  // of one-zone gangs, in this round
};

}  // namespace

void CapacityBackoff::record_failure(const Market& market, Seconds now, Seconds initial_delay,
                                     Seconds max_delay) {
  Backoff& backoff = backoffs_[market];
  backoff.delay = backoff.delay == 0 ? initial_delay : std::min(backoff.delay * 2, max_delay);
  backoff.until = now + backoff.delay;
}

bool CapacityBackoff::may_request(const Market& market, Seconds now) const {
  const auto it = backoffs_.find(market);
  return it == backoffs_.end() || now >= it->second.until;
}

ScalingPlan plan_scaling(ClusterState& cluster, const CapacityBackoff& backoff,
                         const std::map<Market, int>& pending, Seconds now, Seconds start_bound) {
  return ScalingRound(cluster, backoff, now).run(pending, start_bound);
}

}  // namespace larkroad::coordination
