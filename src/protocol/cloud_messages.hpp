/// Messages between controllers and the cloud provider: machine catalog, rentals and the list of
/// rented machines.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::protocol {

/// A machine type in the catalog.
///
///     {"name":"g8","cores":96,"accelerators":8,"memGb":768,"localGb":200,"fetchGbPerS":1.0,
///      "hourly":12.0,"marketPrice":4.5,"bootS":45,"yards":["a","b"]}
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;  // 0 if omitted
  double memory_gb = 0;
  double cache_gb = 0;        // disk space for images; 0 if omitted
  double fetch_gb_per_s = 0;  // image download rate; 0 if omitted
  double price = 0;           // per hour
  double spot_price = 0;      // current price per hour; `price` if omitted
  double boot_s = 0;
  std::vector<std::string> zones;
};

inline constexpr const char* kCatalogPath = "/catalog";
/// Parses `{"breeds":[...]}`. Throws Malformed.
std::vector<MachineType> parse_catalog(const std::string& body);
/// Encodes the catalog in the same format, for the key-value store.
std::string encode_catalog(const std::vector<MachineType>& types);

/// `{"ask":"r-17","breed":"g8","yard":"a","loaners":true,"number":12}`
struct RentalRequest {
  std::string request;  // idempotency key, unique across all controllers
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 1;
};
inline constexpr int kMaxRentalCount = 50;
inline constexpr const char* kRentalsPath = "/rentals";
std::string encode_rental(const RentalRequest& request);
/// Returns the names of the rented machines from `{"perches":["i-000231",...]}`. Throws Malformed.
std::vector<std::string> parse_rented(const std::string& body);

inline constexpr int kMaxReturnCount = 100;
inline constexpr const char* kReturnPath = "/rentals/return";
/// Encodes the machines to return: `{"perches":["i-000231",...]}`
std::string encode_return(const std::vector<std::string>& machines);

enum class ListedState { booting, running, failed };

/// An entry of the cloud's machine list.
///
///     {"ref":"i-000231","address":"10.1.0.232:9000","breed":"g8","yard":"a","loaners":true,
///      "stage":"running","ageS":61.5}
struct ListedMachine {
  std::string name;
  std::string address;  // empty if omitted
  std::string type;
  std::string zone;
  bool spot = false;
  ListedState state = ListedState::booting;
  double age_s = 0;  // since the rental request, at the time of the listed snapshot
};

/// One page of the machine list, sorted by machine name: `{"perches":[...],"more":false}`
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
/// Throws Malformed.
MachinePage parse_machine_page(const std::string& body);

/// Returns the request target for the page that starts after the machine `after`, or for the first
/// page if `after` is empty.
std::string machine_list_target(const std::string& after);

}  // namespace larkroad::protocol
