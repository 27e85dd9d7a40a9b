/// Messages between the controllers and the cloud: machine types, rentals, the machine list.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::protocol {

/// A machine type of the catalog.
///
///     {"name":"g8","cores":96,"accelerators":8,"memGb":768,"localGb":200,"fetchGbPerS":1.0,
///      "hourly":12.0,"marketPrice":4.5,"bootS":45,"yards":["a","b"]}
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;  // 0 where omitted
  double memory_gb = 0;
  double cache_gb = 0;        // room for images; 0 where omitted
  double fetch_gb_per_s = 0;  // of images; 0 where omitted
  double price = 0;           // an hour
  double spot_price = 0;      // an hour, at present; `price` where omitted
  double boot_s = 0;
  std::vector<std::string> zones;
};

inline constexpr const char* kCatalogPath = "/catalog";
/// `{"breeds":[...]}`. Throws Malformed.
std::vector<MachineType> parse_catalog(const std::string& body);
/// The same form, as it is kept in the key-value store.
std::string encode_catalog(const std::vector<MachineType>& types);

/// `{"ask":"r-17","breed":"g8","yard":"a","loaners":true,"number":12}`
struct RentalRequest {
  std::string request;  // idempotency key: never used twice, by any controller
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 1;
};
inline constexpr int kMaxRentalCount = 50;
inline constexpr const char* kRentPath = "/rentals";
std::string encode_rental(const RentalRequest& request);
/// The names of the machines rented: `{"perches":["i-000231",...]}`. Throws Malformed.
std::vector<std::string> parse_rented(const std::string& body);

inline constexpr int kMaxReturnCount = 100;
inline constexpr const char* kReturnPath = "/rentals/return";
/// `{"perches":["i-000231",...]}`
std::string encode_return(const std::vector<std::string>& machines);

enum class ListedState { booting, running, failed };

/// A machine of the cloud's list.
///
///     {"ref":"i-000231","address":"10.1.0.232:9000","breed":"g8","yard":"a","loaners":true,
///      "stage":"running","ageS":61.5}
struct ListedMachine {
  std::string name;
  std::string address;  // empty where omitted
  std::string type;
  std::string zone;
  bool spot = false;
  ListedState state = ListedState::booting;
  double age_s = 0;  // since the rental request, as of the time that the list describes
};

/// `{"perches":[...],"more":false}`, in the order of the machines' names.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
/// Throws Malformed.
MachinePage parse_machine_page(const std::string& body);

/// The request target of the page that begins after the machine `after`; empty: the first page.
std::string list_target(const std::string& after);

}  // namespace larkroad::protocol
