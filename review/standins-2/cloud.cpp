#include "cloud.hpp"

#include <cstdio>

namespace standin {
namespace {

// A machine that died goes on being listed as running for about this long.
constexpr Seconds kListedAfterDeath = 30;

}  // namespace

Cloud::Cloud(Bench& bench, WorkerSettings worker_settings, std::vector<MachineType> types,
             Seconds list_lag)
    : bench_(bench),
      worker_settings_(std::move(worker_settings)),
      types_(std::move(types)),
      list_lag_(list_lag),
      port_(free_port()) {
  server_ = bench_.serve(port_, [this](Request request, Respond respond) {
    try {
      handle(request, respond);
    } catch (const std::exception&) {
      respond({400, "{}"});
    }
  });
}

void Cloud::handle(const Request& request, const Respond& respond) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (outage) {
    respond({503, R"({"error":"trouble"})"});
  } else if (path == "/catalog") {
    respond(catalog());
  } else if (path == "/rentals" && request.method == "POST") {
    respond(rent(Json::parse(request.body)));
  } else if (path == "/rentals/return") {
    respond(give_back(Json::parse(request.body)));
  } else {
    respond(list(request.target));
  }
}

Response Cloud::catalog() const {
  Json breeds = Json::array();
  for (const MachineType& type : types_) {
    breeds.push_back({{"name", type.name},
                      {"cores", type.cpus},
                      {"accelerators", type.gpus},
                      {"memGb", type.memory_gb},
                      {"localGb", type.cache_gb},
                      {"fetchGbPerS", type.fetch_gb_per_s},
                      {"hourly", type.price},
                      {"marketPrice", type.spot_price},
                      {"bootS", type.boot_s},
                      {"yards", type.zones}});
  }
  return {200, Json{{"breeds", breeds}}.dump()};
}

Worker& Cloud::create(const std::string& type, const std::string& zone, bool spot, Seconds boot) {
  char name[32];
  std::snprintf(name, sizeof name, "i-%06d", next_number_++);
  for (const MachineType& known : types_) {
    if (known.name != type) continue;
    machines_.push_back(std::make_unique<Worker>(
        bench_, worker_settings_,
        WorkerMachine{name, type, zone, spot, known.cpus, known.gpus, known.memory_gb,
                      known.fetch_gb_per_s}));
    Worker& worker = *machines_.back();
    rented_[name] = {bench_.now(), bench_.now() + boot, -1, -1};
    bench_.after(boot, [&worker] { worker.start(); });
    return worker;
  }
  throw std::runtime_error("no such type");
}

Worker& Cloud::add_running_machine(const std::string& type, const std::string& zone, bool spot) {
  Worker& worker = create(type, zone, spot, 0);
  rented_[worker.name()].created_at -= 600;
  rented_[worker.name()].boots_until -= 600;
  return worker;
}

Worker* Cloud::machine(const std::string& name) {
  for (const auto& worker : machines_) {
    if (worker->name() == name) return worker.get();
  }
  return nullptr;
}

void Cloud::power_off(const std::string& name) {
  bench_.record("machine " + name + " stops with all that is on it");
  rented_.at(name).died_at = bench_.now();
  machine(name)->power_off();
}

Response Cloud::rent(const Json& request) {
  const std::string ask = request.at("ask");
  if (const auto it = granted_.find(ask); it != granted_.end()) return {200, it->second};
  Json names = Json::array();
  for (int i = 0; i < request.at("number").get<int>() && i < 50; ++i) {
    std::size_t existing = 0;
    for (const auto& [name, rented] : rented_) existing += rented.deleted_at < 0;
    if (existing >= capacity) break;
    const std::string type = request.at("breed");
    Seconds boot = 0;
    for (const MachineType& known : types_) {
      if (known.name == type) boot = known.boot_s * boot_factor;
    }
    names.push_back(create(type, request.at("yard"), request.at("loaners"), boot).name());
  }
  bench_.record("cloud: rental " + request.dump() + " -> " + names.dump());
  if (names.empty()) return {503, R"({"error":"no capacity"})"};
  granted_[ask] = Json{{"perches", names}}.dump();
  return {200, granted_[ask]};
}

Response Cloud::give_back(const Json& request) {
  bench_.record("cloud: returned " + request.dump());
  for (const std::string name : request.at("perches")) {
    const auto it = rented_.find(name);
    if (it == rented_.end() || it->second.deleted_at >= 0) continue;
    it->second.deleted_at = bench_.now();
    machine(name)->power_off();
  }
  return {200, "{}"};
}

Response Cloud::list(const std::string& target) const {
  const std::string since = parameter(target, "since");
  const Seconds as_of = bench_.now() - list_lag_;
  Json perches = Json::array();
  for (const auto& worker : machines_) {
    const Rented& rented = rented_.at(worker->name());
    if (worker->name() <= since || rented.created_at > as_of) continue;
    if (rented.deleted_at >= 0 && rented.deleted_at <= as_of) continue;
    const char* stage = as_of < rented.boots_until ? "booting" : "running";
    if (rented.died_at >= 0 && rented.died_at + kListedAfterDeath <= as_of) stage = "failed";
    perches.push_back({{"ref", worker->name()},
                       {"address", worker->address()},
                       {"breed", worker->machine().type},
                       {"yard", worker->machine().zone},
                       {"loaners", worker->machine().spot},
                       {"stage", stage},
                       {"ageS", as_of - rented.created_at}});
  }
  return {200, Json{{"perches", perches}, {"more", false}}.dump()};
}

}  // namespace standin
