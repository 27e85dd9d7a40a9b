// Machines: renting, returning, and what the list tells.
#include <algorithm>

#include "coordination/leader/leader.hpp"
#include "log.hpp"

namespace larkroad::coordination {
namespace {

// The fleet is looked at this often, as a part of the report interval.
constexpr double kFleetRatio = 1.0 / 3;
constexpr Seconds kCloudTimeout = 10;
// The part of the machines that may go back because nothing reaches them.
constexpr double kUnreachableMost = 0.2;
// Prices move; the catalog is asked again after this many lags of the machine list.
constexpr double kCatalogRatio = 10;

}  // namespace

void Leader::scale() {
  scope_.after(settings_.heartbeat_interval_s * kFleetRatio, [this] { scale(); });
  record_images();
  if (spdlog::should_log(spdlog::level::debug)) log_use();
  if (!election_.is_leader() || !catalog_.known()) return;
  // Until the machines of an earlier leader have had time to report, what is there is not known.
  if (!listed_once_ || clock_.now() - ready_at_ < settings_.heartbeat_interval_s * 1.5) return;
  const Seconds begun = clock_.now();
  const ScalingPlan decided = plan_scaling(cluster_, capacity_backoff_, pending_rentals_,
                                           clock_.now(), settings_.operators.start_bound_s);
  activity_.fleet_time += clock_.now() - begun;
  for (const auto& wanted : decided.scale_out) request_machines(wanted.market, wanted.count);
  if (!decided.scale_in.empty()) release_machines(decided.scale_in);
}

// Machines that report and don't hear are asked until they answer. One that never does within a
// lease holds nothing any more, as its worker's lease has run out too: it goes back. When that
// would be a large part of the fleet, the fault is more likely on this side, and nothing is done.
void Leader::check_unreachable_machines() {
  const Seconds now = clock_.now();
  size_t deaf = 0;
  std::vector<std::string> lost;
  for (auto& [name, machine] : cluster_.machines()) {
    if (machine.unreachable_since < 0 || machine.lease_expired || machine.being_released) continue;
    ++deaf;
    if (now - machine.unreachable_since > settings_.lease_s) lost.push_back(name);
    if (now - machine.inspected_at > settings_.heartbeat_interval_s) inspect(machine);
  }
  if (lost.empty() || static_cast<double>(deaf) >
                          kUnreachableMost * static_cast<double>(cluster_.machines().size()) + 1) {
    return;
  }
  release_machines(lost);
}

// One line on how the fleet is used, for those who look for room.
void Leader::log_use() {
  struct TypeUsage {
    int up = 0, coming = 0, idle = 0;
    Resources all, placed, running;
  };
  std::map<std::string, TypeUsage> by_type;
  for (const auto& [name, machine] : cluster_.machines()) {
    TypeUsage& use = by_type[machine.type + (machine.spot ? "/spot" : "")];
    if (!machine.has_reported) {
      ++use.coming;
      continue;
    }
    ++use.up;
    use.idle += machine.tasks.empty();
    use.all += machine.capacity;
    use.placed += machine.used;
    for (const auto& id : machine.tasks) {
      const Job* job = cluster_.job(id.job);
      if (job != nullptr && job->placements.at(id.task).running_since >= 0) {
        use.running += needs_of(job->spec);
      }
    }
  }
  std::string line;
  for (const auto& [type, use] : by_type) {
    line += fmt::format(" {}: {} up {} coming {} idle", type, use.up, use.coming, use.idle);
    if (use.all.gpus > 0) {
      line += fmt::format(" gpus {:.0f}/{:.0f}/{:.0f}", use.running.gpus, use.placed.gpus,
                          use.all.gpus);
    }
    line +=
        fmt::format(" cpus {:.0f}/{:.0f}/{:.0f};", use.running.cpus, use.placed.cpus, use.all.cpus);
  }
  std::map<std::string, std::pair<int, std::uint32_t>> waiting;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->waiting() == 0) continue;
    ++waiting[job->spec.job_class].first;
    waiting[job->spec.job_class].second += job->waiting();
  }
  for (const auto& [name, count] : waiting) {
    line += fmt::format(" {} waits: {} jobs {} tasks;", name, count.first, count.second);
  }
  spdlog::debug("fleet (running/placed/all){}", line);
  spdlog::debug(
      "activity: {} planning rounds {:.1f} ms, fleet {:.1f} ms, {} reports of {} tasks, {} calls",
      activity_.planning_rounds, activity_.planning_time * 1e3, activity_.fleet_time * 1e3,
      activity_.heartbeats, activity_.reported_tasks, activity_.direct_calls);
  activity_ = {};
}

void Leader::request_machines(const Market& market, int count) {
  // The token is this leadership's own, so the name is never used again by any node or term.
  protocol::RentalRequest request{
      "r-" + std::to_string(election_.fencing_token()) + "-" + std::to_string(++rentals_),
      market.type, market.zone, market.spot, std::min(count, protocol::kMaxRentalCount)};
  pending_rentals_[market] += request.count;
  spdlog::info("rents {} {} in {}{}", request.count, market.type, market.zone,
               market.spot ? " (spot)" : "");
  send_rental_request(request);
}

void Leader::send_rental_request(const protocol::RentalRequest& request) {
  const Seconds sent = clock_.now();
  client_.call(
      settings_.cloud.text(), {"POST", protocol::kRentPath, protocol::encode_rental(request)},
      kCloudTimeout,
      scope_.wrap([this, request, sent](transport::Outcome outcome, transport::Response response) {
        const Market market{request.type, request.zone, request.spot};
        const auto settled = [&] {
          auto& pending = pending_rentals_[market];
          pending -= request.count;
          if (pending <= 0) pending_rentals_.erase(market);
        };
        if (outcome == transport::Outcome::answered && response.status == 200) {
          std::vector<std::string> names;
          try {
            names = protocol::parse_rented(response.body);
          } catch (const std::exception& error) {
            spdlog::error("cloud: {}", error.what());
          }
          settled();
          for (const auto& name : names) {
            Machine& machine = cluster_.machine(name);
            if (machine.rented_at == 0) machine.rented_at = sent;
            machine.identity_confirmed =
                true;  // whatever it reports comes after this leader's beginning
            machine.known_to_exist_at = std::max(machine.known_to_exist_at, clock_.now());
            machine.zone = request.zone;
            machine.spot = request.spot;
            cluster_.set_type(machine, request.type);
          }
          if (static_cast<int>(names.size()) < request.count) {
            capacity_backoff_.refused(market, clock_.now(), settings_.list_lag_s,
                                      settings_.list_lag_s * 8);
          } else {
            capacity_backoff_.granted(market);
          }
          return;
        }
        const bool refused = outcome == transport::Outcome::answered && response.status == 503 &&
                             response.body.find("capacity") != std::string::npos;
        if (refused || (outcome == transport::Outcome::answered && response.status == 400)) {
          spdlog::info("cloud has no {} in {}{}", request.type, request.zone,
                       request.spot ? " (spot)" : "");
          settled();
          capacity_backoff_.refused(market, clock_.now(), settings_.list_lag_s,
                                    settings_.list_lag_s * 8);
          return;
        }
        // Without an answer it is repeated as it was, whether or not it was carried out.
        scope_.after(settings_.heartbeat_interval_s,
                     [this, request] { send_rental_request(request); });
      }));
}

void Leader::release_machines(const std::vector<std::string>& names) {
  std::vector<std::string> batch;
  for (const auto& name : names) {
    Machine* machine = cluster_.find_machine(name);
    if (machine == nullptr || machine->being_released) continue;
    if (static_cast<int>(batch.size()) >= protocol::kMaxReturnCount) break;
    machine->being_released = true;
    batch.push_back(name);
  }
  if (batch.empty()) return;
  spdlog::info("returns {} machines, first {}", batch.size(), batch.front());
  client_.call(settings_.cloud.text(),
               {"POST", protocol::kReturnPath, protocol::encode_return(batch)}, kCloudTimeout,
               scope_.wrap([this, batch](transport::Outcome outcome, transport::Response response) {
                 if (outcome == transport::Outcome::answered && response.status == 200) {
                   for (const auto& name : batch) remove_machine(name, "returned");
                   return;
                 }
                 scope_.after(settings_.heartbeat_interval_s, [this, batch] {
                   for (const auto& name : batch) {
                     if (Machine* machine = cluster_.find_machine(name))
                       machine->being_released = false;
                   }
                   release_machines(batch);
                 });
               }));
}

void Leader::list_machines() {
  scope_.after(settings_.list_lag_s > 0 ? settings_.list_lag_s / 2 : settings_.heartbeat_interval_s,
               [this] { list_machines(); });
  if (listing_ || !election_.is_leader()) return;
  listing_ = true;
  list_page("", clock_.now());
}

void Leader::list_page(const std::string& after, Seconds begun) {
  client_.call(settings_.cloud.text(), {"GET", protocol::list_target(after), ""}, kCloudTimeout,
               scope_.wrap([this, begun](transport::Outcome outcome, transport::Response response) {
                 if (outcome != transport::Outcome::answered || response.status != 200) {
                   listing_ = false;
                   return;
                 }
                 try {
                   const auto page = protocol::parse_machine_page(response.body);
                   const Seconds now = clock_.now();
                   std::vector<std::string> failed;
                   for (const auto& listed : page.machines) {
                     if (removed_machines_.contains(listed.name)) continue;
                     Machine& machine = cluster_.machine(listed.name);
                     machine.listed_at = begun;
                     if (machine.rented_at == 0) machine.rented_at = now - listed.age_s;
                     if (machine.type.empty()) {
                       machine.zone = listed.zone;
                       machine.spot = listed.spot;
                       cluster_.set_type(machine, listed.type);
                     }
                     if (machine.address.empty()) machine.address = listed.address;
                     if (listed.state == protocol::ListedState::failed) {
                       failed.push_back(listed.name);
                     } else if (listed.state == protocol::ListedState::running &&
                                !machine.has_reported && !machine.address.empty()) {
                       inspect(machine);
                     }
                   }
                   for (const auto& name : failed) {
                     // It stopped on its own, and all that was on it; it stays listed until it is
                     // deleted.
                     Machine* machine = cluster_.find_machine(name);
                     if (machine == nullptr || machine->being_released) continue;
                     all_gone(*machine, "machine " + name + " has failed");
                     release_machines({name});
                   }
                   if (page.more && !page.machines.empty()) {
                     list_page(page.machines.back().name, begun);
                     return;
                   }
                 } catch (const std::exception& error) {
                   spdlog::error("cloud: {}", error.what());
                   listing_ = false;
                   return;
                 }
                 listing_ = false;
                 listed(begun);
               }));
}

void Leader::listed(Seconds begun) {
  listed_once_ = true;
  if (begun > catalog_asked_at_ + settings_.list_lag_s * kCatalogRatio) {
    catalog_asked_at_ = begun;
    catalog_.refresh();
  }
  // A list shows a moment at most two lags ago. One that lacks a machine which an older moment
  // showed, or which was rented before that moment, proves that it is gone.
  const Seconds oldest = begun - 2 * settings_.list_lag_s - settings_.heartbeat_interval_s;
  std::vector<std::string> missing;
  for (const auto& [name, machine] : cluster_.machines()) {
    // A machine of an earlier leader's records counts too: when leaders change often, each would
    // otherwise wait anew for the lease of one that has long been taken.
    const Seconds known = std::max(machine.listed_at, machine.known_to_exist_at);
    if (machine.listed_at != begun && known > 0 && known < oldest &&
        (machine.last_heartbeat_at < oldest || machine.listed_at > 0)) {
      missing.push_back(name);
    }
  }
  for (const auto& name : missing) remove_machine(name, "no longer listed");
  const Seconds forget = begun - 4 * settings_.list_lag_s - 4 * settings_.lease_s;
  std::erase_if(removed_machines_, [&](const auto& gone) { return gone.second < forget; });
}

std::unordered_map<std::string, UserApi::Progress> Leader::progress() const {
  std::unordered_map<std::string, UserApi::Progress> out;
  for (const auto& [id, job] : cluster_.jobs()) {
    const std::uint32_t running = job->running();
    if (job->done_count > 0 || running > 0) out[id] = {job->done_count, running};
  }
  return out;
}

}  // namespace larkroad::coordination
