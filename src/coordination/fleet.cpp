#include "coordination/fleet.hpp"

#include <algorithm>
#include <cmath>

#include "coordination/planner.hpp"

namespace larkroad::coordination {
namespace {

// A machine that has not come up after this many times its usual boot time never will.
constexpr double kBootPatience = 4;
// The cloud charges a machine for at least a minute.
constexpr Seconds kShortestRental = 60;
// An idle machine is kept for this many times what it takes to boot another.
constexpr double kIdlePatience = 2;

struct Space {
  const MachineType* type;
  std::string zone;
  bool spot;
  Resources room;
};

double hourly(const MachineType& type, bool spot) { return spot ? type.spot_price : type.price; }

}  // namespace

void Refusals::refused(const Market& market, Seconds now, Seconds first_pause,
                       Seconds longest_pause) {
  Pause& pause = pauses_[market];
  pause.length =
      pause.length == 0 ? first_pause : std::min(pause.length * 2, longest_pause);
  pause.until = now + pause.length;
}

bool Refusals::open(const Market& market, Seconds now) const {
  const auto it = pauses_.find(market);
  return it == pauses_.end() || now >= it->second.until;
}

FleetPlan plan_fleet(Ledger& ledger, const Refusals& refusals,
                     const std::map<Market, int>& pending, Seconds now) {
  FleetPlan out;

  // Room that is there or on its way.
  std::vector<Space> spaces;
  for (const auto& [name, machine] : ledger.machines()) {
    const MachineType* type = ledger.type(machine.type);
    if (type == nullptr || machine.returning || machine.silent || machine.taken_at ||
        machine.suspect) {
      continue;
    }
    if (!machine.heard && now - machine.rented_at > kBootPatience * type->boot_s) continue;
    spaces.push_back({type, machine.zone, machine.spot, machine.room()});
  }
  for (const auto& [market, count] : pending) {
    const MachineType* type = ledger.type(market.type);
    for (int i = 0; type != nullptr && i < count; ++i) {
      spaces.push_back({type, market.zone, market.spot, capacity_of(*type)});
    }
  }

  std::map<std::string, Resources> taken;
  std::map<Market, int> wanted;
  for (Job* job : order_of_work(ledger)) {
    const JobSpec& spec = job->spec;
    const TeamSettings* team = ledger.settings().team(spec.team);
    if (team == nullptr) continue;
    Resources used = ledger.used_by(spec.team);
    used += taken[spec.team];
    const Resources left{team->cpus_max - used.cpus, team->gpus_max - used.gpus, 1e12};
    std::uint32_t count = std::min(job->waiting(), left.times({spec.cpus, spec.gpus, 0}));
    const Resources need = needs_of(spec);
    const auto take = [&](Space& space) {
      const std::uint32_t fit = std::min(count, space.room.times(need));
      for (std::uint32_t i = 0; i < fit; ++i) {
        space.room -= need;
        taken[spec.team] += need;
      }
      count -= fit;
    };
    for (Space& space : spaces) {
      if (count == 0) break;
      if (allows(spec, *space.type, space.zone, space.spot)) take(space);
    }
    while (count > 0) {
      // The market with the lowest price for each task that it takes.
      const MachineType* best = nullptr;
      Market market;
      double best_price = 0;
      for (const auto& type : ledger.types()) {
        for (const auto& zone : type.zones) {
          for (const bool spot : {true, false}) {
            if (!allows(spec, type, zone, spot)) continue;
            if (!refusals.open({type.name, zone, spot}, now)) continue;
            if (wanted[{type.name, zone, spot}] >= protocol::kMostRented) continue;
            const double fit =
                std::min<double>(count, capacity_of(type).times(need));
            const double price = hourly(type, spot) / fit;
            if (best == nullptr || price < best_price) {
              best = &type;
              best_price = price;
              market = {type.name, zone, spot};
            }
          }
        }
      }
      if (best == nullptr) break;
      ++wanted[market];
      spaces.push_back({best, market.zone, market.spot, capacity_of(*best)});
      take(spaces.back());
    }
  }
  for (const auto& [market, count] : wanted) {
    if (count > 0) out.rent.push_back({market, count});
  }

  for (const auto& [name, machine] : ledger.machines()) {
    const MachineType* type = ledger.type(machine.type);
    if (type == nullptr || machine.returning) continue;
    if (!machine.heard) {
      if (machine.tasks.empty() && now - machine.rented_at > kBootPatience * type->boot_s) {
        out.give_back.push_back(name);
      }
      continue;
    }
    // A machine whose lease has run out unanswered holds nothing any more; if it were only cut
    // off it would have come back to another node by now.
    if (machine.silent) {
      out.give_back.push_back(name);
      continue;
    }
    if (!machine.tasks.empty()) continue;
    if (machine.suspect || (now - machine.idle_since > kIdlePatience * type->boot_s &&
                            now - machine.rented_at > kShortestRental)) {
      out.give_back.push_back(name);
    }
  }
  return out;
}

}  // namespace larkroad::coordination
