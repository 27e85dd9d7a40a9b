// The cloud's side of the protocol: machine types, rentals, the machine list.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::protocol {

struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;       // an hour
  double spot_price = 0;  // an hour, at present
  double boot_s = 0;
  std::vector<std::string> zones;
};

// Throws Malformed.
std::vector<MachineType> parse_catalog(const std::string& body);
std::string encode_catalog(const std::vector<MachineType>& types);

struct RentalRequest {
  std::string request;  // never used twice, by any node
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 1;
};
inline constexpr int kMaxRentalCount = 50;
inline constexpr int kMaxReturnCount = 100;

std::string encode_rental(const RentalRequest& request);
std::string encode_return(const std::vector<std::string>& machines);
std::vector<std::string> parse_rented(const std::string& body);

enum class ListedState { booting, running, failed };
struct ListedMachine {
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  ListedState state = ListedState::booting;
  double age_s = 0;
};
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
MachinePage parse_machine_page(const std::string& body);

inline constexpr const char* kCatalogPath = "/catalog";
inline constexpr const char* kRentPath = "/rentals";
inline constexpr const char* kReturnPath = "/rentals/return";
std::string list_target(const std::string& after);

}  // namespace larkroad::protocol
