#include "sim/fake_cloud.hpp"

#include <algorithm>

#include "sim/world.hpp"

namespace larkroad::sim {
namespace {

constexpr int kFirstMachineNumber = 100000;
constexpr int kMachinesPerSubnet = 200;
constexpr Seconds kMinBootTime = 3;
constexpr Seconds kBootTimeSpread = 5;

std::string machine_address(int number) {
  return "10.1." + std::to_string(number / kMachinesPerSubnet) + "." +
         std::to_string(number % kMachinesPerSubnet + 1) + ":9000";
}

}  // namespace

void FakeCloud::handle(const Request& request, const Respond& respond) {
  if (request.target == "/catalog") {
    respond({200, protocol::encode_catalog(testing::types())});
  } else if (request.target == "/rentals") {
    respond(allocate(request.body));
  } else if (request.target == "/rentals/return") {
    terminate(request.body);
    respond({200, "{}"});
  } else {
    respond(list());
  }
}

Response FakeCloud::allocate(const std::string& body) {
  const Json request = Json::parse(body);
  const std::string name = request.at("ask");
  if (const auto it = allocations_.find(name); it != allocations_.end()) {
    return {200, it->second.dump()};
  }
  Json machines = Json::array();
  for (int i = 0; i < request.at("number").get<int>(); ++i) {
    const auto allocated = std::count_if(world_.workers.begin(), world_.workers.end(),
                                         [](const auto& worker) { return !worker->terminated; });
    if (allocated >= capacity) break;
    machines.push_back(add_machine(request));
  }
  if (machines.empty()) return {503, R"({"error":"no capacity"})"};
  allocations_[name] = {{"perches", machines}};
  return {200, allocations_[name].dump()};
}

std::string FakeCloud::add_machine(const Json& request) {
  const int number = next_machine_++;
  auto worker = std::make_shared<FakeWorker>(
      world_, "i-" + std::to_string(kFirstMachineNumber + number), machine_address(number),
      request.at("breed"), request.at("yard"), request.at("loaners"));
  world_.workers.push_back(worker);
  created_at_[worker->name] = world_.events.now();
  const Seconds boot_finished =
      world_.events.now() + kMinBootTime + world_.random_fraction() * kBootTimeSpread;
  world_.events.schedule_at(boot_finished, [worker] {
    if (!worker->terminated) worker->start();
  });
  return worker->name;
}

void FakeCloud::terminate(const std::string& body) {
  const Json request = Json::parse(body);
  for (const auto& name : request.at("perches")) {
    for (const auto& worker : world_.workers) {
      if (worker->name == name) worker->terminate();
    }
  }
}

Response FakeCloud::list() const {
  Json machines = Json::array();
  for (const auto& worker : world_.workers) {
    const Seconds age = world_.events.now() - created_at_.at(worker->name);
    if (age < world_.settings.list_lag_s || worker->terminated) continue;
    machines.push_back({{"ref", worker->name},
                        {"address", worker->address},
                        {"breed", worker->type},
                        {"yard", worker->zone},
                        {"loaners", worker->spot},
                        {"stage", "running"},
                        {"ageS", age}});
  }
  return {200, Json{{"perches", machines}, {"more", false}}.dump()};
}

}  // namespace larkroad::sim
