#include "protocol/cloud_messages.hpp"

#include <array>
#include <utility>

#include "protocol/wire_names.hpp"

namespace larkroad::protocol {
namespace {

constexpr int kListPageSize = 500;

constexpr std::array<std::pair<const char*, ListedState>, 3> kListedStates{{
    {"booting", ListedState::booting},
    {"running", ListedState::running},
    {"failed", ListedState::failed},
}};

MachineType parse_machine_type(const Json& item) {
  MachineType type;
  type.name = text(item, wire::kTypeName);
  type.cpus = amount(item, wire::kCpus);
  type.gpus = amount_or(item, wire::kGpus, 0);
  type.memory_gb = amount(item, wire::kMemoryGb);
  type.cache_gb = amount_or(item, wire::kCacheGb, 0);
  type.fetch_gb_per_s = amount_or(item, wire::kFetchRate, 0);
  type.price = amount(item, wire::kPrice);
  type.spot_price = amount_or(item, wire::kSpotPrice, type.price);
  type.boot_s = amount(item, wire::kBootTime);
  type.zones = array_of_strings(item, wire::kZones);
  return type;
}

ListedMachine parse_listed_machine(const Json& item) {
  ListedMachine machine;
  machine.name = text(item, wire::kId);
  if (find(item, wire::kAddress) != nullptr) machine.address = text(item, wire::kAddress);
  machine.type = text(item, wire::kMachineType);
  machine.zone = text(item, wire::kZone);
  machine.spot = boolean(item, wire::kSpot);
  machine.state = enum_field(kListedStates, item, wire::kState);
  machine.age_s = amount(item, wire::kAge);
  return machine;
}

}  // namespace

std::vector<MachineType> parse_catalog(const std::string& body) {
  const Json json = parse_object(body);
  std::vector<MachineType> types;
  for (const Json& item : array(json, wire::kMachineTypes)) {
    require_object(item, wire::kMachineTypes);
    types.push_back(parse_machine_type(item));
  }
  return types;
}

std::string encode_catalog(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const auto& type : types) {
    list.push_back({{wire::kTypeName, type.name},
                    {wire::kCpus, type.cpus},
                    {wire::kGpus, type.gpus},
                    {wire::kMemoryGb, type.memory_gb},
                    {wire::kCacheGb, type.cache_gb},
                    {wire::kFetchRate, type.fetch_gb_per_s},
                    {wire::kPrice, type.price},
                    {wire::kSpotPrice, type.spot_price},
                    {wire::kBootTime, type.boot_s},
                    {wire::kZones, type.zones}});
  }
  return Json{{wire::kMachineTypes, std::move(list)}}.dump();
}

std::string encode_rental(const RentalRequest& request) {
  return Json{{wire::kRequestId, request.request},
              {wire::kMachineType, request.type},
              {wire::kZone, request.zone},
              {wire::kSpot, request.spot},
              {wire::kMachineCount, request.count}}
      .dump();
}

std::vector<std::string> parse_rented(const std::string& body) {
  const Json json = parse_object(body);
  return array_of_strings(json, wire::kMachines);
}

std::string encode_return(const std::vector<std::string>& machines) {
  return Json{{wire::kMachines, machines}}.dump();
}

MachinePage parse_machine_page(const std::string& body) {
  const Json json = parse_object(body);
  MachinePage page;
  for (const Json& item : array(json, wire::kMachines)) {
    require_object(item, wire::kMachines);
    page.machines.push_back(parse_listed_machine(item));
  }
  page.more = find(json, wire::kMore) != nullptr && boolean(json, wire::kMore);
  return page;
}

std::string machine_list_target(const std::string& after) {
  std::string target = kRentalsPath;
  target += "?limit=" + std::to_string(kListPageSize);
  if (!after.empty()) target += "&since=" + after;
  return target;
}

}  // namespace larkroad::protocol
