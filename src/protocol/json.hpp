// Checked reading of JSON: every codec of this layer goes through these.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace larkroad::protocol {

using Json = nlohmann::json;

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses an object; throws Malformed for anything else, and for a field given twice.
Json parse_object(const std::string& text);

// A field that may be null may equally be omitted; both give nullptr.
const Json* find(const Json& object, const char* key);
const Json& need(const Json& object, const char* key);

std::string text(const Json& object, const char* key);
std::uint64_t integer(const Json& object, const char* key);
bool boolean(const Json& object, const char* key);
// A finite amount of at least `least`.
double amount(const Json& object, const char* key, double least = 0);
const Json& array(const Json& object, const char* key);

// The value that a table of names and values has for a name; none: the name is not in it.
template <typename Table>
auto find_named(const Table& table, const std::string& name) {
  using Value = decltype(table.front().second);
  for (const auto& [known, value] : table) {
    if (name == known) return std::optional<Value>(value);
  }
  return std::optional<Value>();
}

// What these return points into the object, so it must not be a temporary.
const Json* find(Json&&, const char*) = delete;
const Json& need(Json&&, const char*) = delete;
const Json& array(Json&&, const char*) = delete;

}  // namespace larkroad::protocol
