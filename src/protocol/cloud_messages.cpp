#include "protocol/cloud_messages.hpp"

namespace larkroad::protocol {

std::vector<MachineType> parse_catalog(const std::string& body) {
  const Json json = parse_object(body);
  std::vector<MachineType> out;
  for (const Json& item : array(json, "breeds")) {
    if (!item.is_object()) throw Malformed("breeds must be a list of objects");
    MachineType type;
    type.name = text(item, "name");
    type.cpus = amount(item, "cores");
    type.gpus = find(item, "accelerators") != nullptr ? amount(item, "accelerators") : 0;
    type.memory_gb = amount(item, "memGb");
    type.cache_gb = find(item, "localGb") != nullptr ? amount(item, "localGb") : 0;
    type.fetch_gb_per_s = find(item, "fetchGbPerS") != nullptr ? amount(item, "fetchGbPerS") : 0;
    type.price = amount(item, "hourly");
    type.spot_price =
        find(item, "marketPrice") != nullptr ? amount(item, "marketPrice") : type.price;
    type.boot_s = amount(item, "bootS");
    type.zones = array(item, "yards").get<std::vector<std::string>>();
    out.push_back(std::move(type));
  }
  return out;
}

std::string encode_catalog(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const auto& type : types) {
    list.push_back({{"name", type.name},
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
  return Json{{"breeds", std::move(list)}}.dump();
}

std::string encode_rental(const RentalRequest& request) {
  return Json{{"ask", request.request},
              {"breed", request.type},
              {"yard", request.zone},
              {"loaners", request.spot},
              {"number", request.count}}
      .dump();
}

std::string encode_return(const std::vector<std::string>& machines) {
  return Json{{"perches", machines}}.dump();
}

std::vector<std::string> parse_rented(const std::string& body) {
  std::vector<std::string> out;
  const Json json = parse_object(body);
  for (const Json& name : array(json, "perches")) {
    if (!name.is_string()) throw Malformed("perches must be a list of strings");
    out.push_back(name.get<std::string>());
  }
  return out;
}

MachinePage parse_machine_page(const std::string& body) {
  const Json json = parse_object(body);
  MachinePage page;
  for (const Json& item : array(json, "perches")) {
    if (!item.is_object()) throw Malformed("perches must be a list of objects");
    ListedMachine machine;
    machine.name = text(item, "ref");
    machine.address = find(item, "address") != nullptr ? text(item, "address") : "";
    machine.type = text(item, "breed");
    machine.zone = text(item, "yard");
    machine.spot = boolean(item, "loaners");
    const std::string state = text(item, "stage");
    if (state == "booting") {
      machine.state = ListedState::booting;
    } else if (state == "running") {
      machine.state = ListedState::running;
    } else if (state == "failed") {
      machine.state = ListedState::failed;
    } else {
      throw Malformed("stage is unknown: " + state);
    }
    machine.age_s = amount(item, "ageS");
    page.machines.push_back(std::move(machine));
  }
  page.more = find(json, "more") != nullptr && boolean(json, "more");
  return page;
}

std::string list_target(const std::string& after) {
  return "/rentals?limit=500" + (after.empty() ? std::string() : "&since=" + after);
}

}  // namespace larkroad::protocol
