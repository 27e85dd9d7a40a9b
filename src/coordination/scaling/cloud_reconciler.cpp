#include "coordination/scaling/cloud_reconciler.hpp"

#include <algorithm>

#include "log.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;

using protocol::ListedState;
using transport::Outcome;
using transport::Response;

constexpr Seconds kCloudTimeout = 10;
// How often the catalog is read again, as prices change; in lags of the machine list.
constexpr double kCatalogRefreshLags = 10;
// The maximum capacity backoff, in lags of the machine list; the initial one is one lag.
constexpr double kMaxBackoffLags = 8;
// Delay of the first scaling round after recovery, in heartbeat intervals: the workers of an
// earlier leader report to this one meanwhile.
constexpr double kFirstRoundIntervals = 1.5;

Market market_of(const protocol::RentalRequest& request) {
  return {request.type, request.zone, request.spot};
}

bool is_ok(Outcome outcome, const Response& response) {
  return outcome == Outcome::answered && response.status == http_status::kOk;
}

// Whether the cloud has definitively refused the rental, so that this request is not retried.
bool is_refusal(Outcome outcome, const Response& response) {
  if (outcome != Outcome::answered) return false;
  const bool no_capacity = response.status == http_status::kServiceUnavailable &&
                           response.body.find("capacity") != std::string::npos;
  return no_capacity || response.status == http_status::kBadRequest;
}

}  // namespace

CloudReconciler::CloudReconciler(transport::Clock& clock, transport::Client& client,
                                 const Leadership& leadership, const Settings& settings,
                                 MachineCatalog& catalog, ClusterState& cluster,
                                 RemovedMachines& removed, LeaderActivity& activity,
                                 Callbacks callbacks)
    : clock_(clock),
      client_(client),
      leadership_(leadership),
      settings_(settings),
      catalog_(catalog),
      cluster_(cluster),
      removed_(removed),
      activity_(activity),
      callbacks_(std::move(callbacks)),
      scope_(clock) {}

void CloudReconciler::begin_term() {
  scope_.restart();
  capacity_backoff_.clear();
  pending_rentals_.clear();
  rental_requests_ = 0;
  listing_ = false;
  listed_once_ = false;
  removed_.clear();
}

void CloudReconciler::end_term() { scope_.restart(); }

void CloudReconciler::start(Seconds recovered_at) {
  recovered_at_ = recovered_at;
  start_listing();
}

void CloudReconciler::run_scaling_round() {
  if (!leadership_.is_leader() || !catalog_.known()) return;
  // The fleet is unknown until the machines of an earlier leader have had time to report.
  const Seconds started_at = clock_.now();
  if (!listed_once_ ||
      started_at - recovered_at_ < settings_.heartbeat_interval_s * kFirstRoundIntervals) {
    return;
  }
  const ScalingPlan plan = plan_scaling(cluster_, capacity_backoff_, pending_rentals_, started_at,
                                        settings_.operators.start_bound_s);
  activity_.scaling_time += clock_.now() - started_at;
  for (const auto& request : plan.scale_out) request_machines(request.market, request.count);
  if (!plan.scale_in.empty()) release_machines(plan.scale_in);
}

// Rentals.

void CloudReconciler::request_machines(const Market& market, int count) {
  // The fencing token is unique to this term, so no other term or controller reuses the id.
  protocol::RentalRequest request;
  request.request =
      "r-" + std::to_string(leadership_.fencing_token()) + "-" + std::to_string(++rental_requests_);
  request.type = market.type;
  request.zone = market.zone;
  request.spot = market.spot;
  request.count = std::min(count, protocol::kMaxRentalCount);
  pending_rentals_[market] += request.count;
  spdlog::info("scale-out requested: request={} count={} type={} zone={} spot={}", request.request,
               request.count, market.type, market.zone, market.spot);
  send_rental_request(request);
}

void CloudReconciler::send_rental_request(const protocol::RentalRequest& request) {
  const Seconds sent_at = clock_.now();
  client_.call(settings_.cloud.text(),
               {"POST", protocol::kRentalsPath, protocol::encode_rental(request)}, kCloudTimeout,
               scope_.wrap([this, request, sent_at](Outcome outcome, const Response& response) {
                 handle_rental_response(request, sent_at, outcome, response);
               }));
}

void CloudReconciler::handle_rental_response(const protocol::RentalRequest& request,
                                             Seconds sent_at, Outcome outcome,
                                             const Response& response) {
  if (is_ok(outcome, response)) {
    handle_granted_rental(request, sent_at, response.body);
    return;
  }
  if (is_refusal(outcome, response)) {
    spdlog::info("scale-out refused: request={} status={} type={} zone={} spot={}", request.request,
                 response.status, request.type, request.zone, request.spot);
    remove_pending_rental(request);
    back_off(market_of(request));
    return;
  }
  // The outcome is unknown; the request is idempotent and is retried under the same id.
  scope_.after(settings_.heartbeat_interval_s, [this, request] { send_rental_request(request); });
}

void CloudReconciler::handle_granted_rental(const protocol::RentalRequest& request, Seconds sent_at,
                                            const std::string& body) {
  std::vector<std::string> names;
  try {
    names = protocol::parse_rented(body);
  } catch (const std::exception& error) {
    spdlog::error("rental response invalid: request={} error=\"{}\"", request.request,
                  error.what());
  }
  remove_pending_rental(request);
  for (const auto& name : names) {
    Machine& machine = cluster_.machine(name);
    if (machine.rented_at == 0) machine.rented_at = sent_at;
    // It was rented in this term, so none of its reports can be a late copy from an earlier one.
    machine.identity_confirmed = true;
    machine.known_to_exist_at = std::max(machine.known_to_exist_at, clock_.now());
    machine.zone = request.zone;
    machine.spot = request.spot;
    cluster_.set_type(machine, request.type);
  }
  const Market market = market_of(request);
  if (static_cast<int>(names.size()) < request.count) {
    back_off(market);
  } else {
    capacity_backoff_.record_success(market);
  }
}

void CloudReconciler::remove_pending_rental(const protocol::RentalRequest& request) {
  const Market market = market_of(request);
  int& pending = pending_rentals_[market];
  pending -= request.count;
  if (pending <= 0) pending_rentals_.erase(market);
}

void CloudReconciler::back_off(const Market& market) {
  capacity_backoff_.record_failure(market, clock_.now(), settings_.list_lag_s,
                                   settings_.list_lag_s * kMaxBackoffLags);
}

// Releases.

void CloudReconciler::release_machines(const std::vector<std::string>& names) {
  std::vector<std::string> batch;
  for (const auto& name : names) {
    Machine* machine = cluster_.find_machine(name);
    if (machine == nullptr || machine->being_released) continue;
    if (static_cast<int>(batch.size()) >= protocol::kMaxReturnCount) break;
    machine->being_released = true;
    batch.push_back(name);
  }
  if (batch.empty()) return;
  spdlog::info("scale-in requested: count={} first_machine={}", batch.size(), batch.front());
  client_.call(settings_.cloud.text(),
               {"POST", protocol::kReturnPath, protocol::encode_return(batch)}, kCloudTimeout,
               scope_.wrap([this, batch](Outcome outcome, const Response& response) {
                 handle_release_response(batch, outcome, response);
               }));
}

void CloudReconciler::handle_release_response(const std::vector<std::string>& names,
                                              Outcome outcome, const Response& response) {
  if (is_ok(outcome, response)) {
    for (const auto& name : names) remove_machine(name, "released to the cloud");
    return;
  }
  scope_.after(settings_.heartbeat_interval_s, [this, names] { retry_release(names); });
}

void CloudReconciler::retry_release(const std::vector<std::string>& names) {
  for (const auto& name : names) {
    if (Machine* machine = cluster_.find_machine(name)) machine->being_released = false;
  }
  release_machines(names);
}

void CloudReconciler::remove_machine(const std::string& name, const std::string& reason) {
  Machine* machine = cluster_.find_machine(name);
  if (machine == nullptr) return;
  spdlog::info("machine removed: machine={} reason=\"{}\"", name, reason);
  removed_.add(name, clock_.now());
  callbacks_.all_tasks_lost(*machine, "machine " + name + " removed: " + reason);
  cluster_.remove_machine(name);
  callbacks_.machine_removed(name);
}

// Machine list.

void CloudReconciler::start_listing() {
  scope_.after(settings_.list_lag_s > 0 ? settings_.list_lag_s / 2 : settings_.heartbeat_interval_s,
               [this] { start_listing(); });
  if (listing_ || !leadership_.is_leader()) return;
  listing_ = true;
  request_page("", clock_.now());
}

void CloudReconciler::request_page(const std::string& after, Seconds list_started_at) {
  client_.call(settings_.cloud.text(), {"GET", protocol::machine_list_target(after), ""},
               kCloudTimeout,
               scope_.wrap([this, list_started_at](Outcome outcome, const Response& response) {
                 handle_page_response(list_started_at, outcome, response);
               }));
}

void CloudReconciler::handle_page_response(Seconds list_started_at, Outcome outcome,
                                           const Response& response) {
  if (!is_ok(outcome, response)) {
    listing_ = false;
    return;
  }
  try {
    const protocol::MachinePage page = protocol::parse_machine_page(response.body);
    apply_page(page, list_started_at);
    if (page.more && !page.machines.empty()) {
      request_page(page.machines.back().name, list_started_at);
      return;
    }
  } catch (const std::exception& error) {
    spdlog::error("machine list invalid: error=\"{}\"", error.what());
    listing_ = false;
    return;
  }
  listing_ = false;
  finish_listing(list_started_at);
}

void CloudReconciler::apply_page(const protocol::MachinePage& page, Seconds list_started_at) {
  std::vector<std::string> failed;
  for (const auto& listed : page.machines) {
    if (removed_.contains(listed.name)) continue;
    apply_listed_machine(listed, list_started_at);
    if (listed.state == ListedState::failed) failed.push_back(listed.name);
  }
  for (const auto& name : failed) handle_failed_machine(name);
}

void CloudReconciler::apply_listed_machine(const protocol::ListedMachine& listed,
                                           Seconds list_started_at) {
  Machine& machine = cluster_.machine(listed.name);
  machine.listed_at = list_started_at;
  if (machine.rented_at == 0) machine.rented_at = clock_.now() - listed.age_s;
  if (machine.type.empty()) {
    machine.zone = listed.zone;
    machine.spot = listed.spot;
    cluster_.set_type(machine, listed.type);
  }
  if (machine.address.empty()) machine.address = listed.address;
  if (listed.state == ListedState::running && !machine.has_reported && !machine.address.empty()) {
    callbacks_.inspect(machine);
  }
}

// The machine has stopped by itself with all its tasks; it stays listed until it is released.
void CloudReconciler::handle_failed_machine(const std::string& name) {
  Machine* machine = cluster_.find_machine(name);
  if (machine == nullptr || machine->being_released) return;
  callbacks_.all_tasks_lost(*machine, "the cloud lists machine " + name + " as failed");
  release_machines({name});
}

void CloudReconciler::finish_listing(Seconds list_started_at) {
  listed_once_ = true;
  if (list_started_at > catalog_refreshed_at_ + settings_.list_lag_s * kCatalogRefreshLags) {
    catalog_refreshed_at_ = list_started_at;
    catalog_.refresh();
  }
  remove_missing_machines(list_started_at);
  removed_.prune_before(list_started_at - 4 * settings_.list_lag_s - 4 * settings_.lease_s);
}

// A list describes the fleet as it was at most two lags ago. If it lacks a machine that is known to
// have existed before that time, the machine has been removed.
void CloudReconciler::remove_missing_machines(Seconds list_started_at) {
  const Seconds oldest_snapshot =
      list_started_at - 2 * settings_.list_lag_s - settings_.heartbeat_interval_s;
  std::vector<std::string> missing;
  for (const auto& [name, machine] : cluster_.machines()) {
    // Machines from an earlier leader's records count as known. Otherwise, with frequent leader
    // changes, each leader would wait again for the lease of a machine removed long ago.
    const Seconds last_known_at = std::max(machine.listed_at, machine.known_to_exist_at);
    const bool known_before = last_known_at > 0 && last_known_at < oldest_snapshot;
    const bool may_be_removed =
        machine.last_heartbeat_at < oldest_snapshot || machine.listed_at > 0;
    if (machine.listed_at != list_started_at && known_before && may_be_removed) {
      missing.push_back(name);
    }
  }
  for (const auto& name : missing) remove_machine(name, "missing from the cloud's machine list");
}

}  // namespace larkroad::coordination
