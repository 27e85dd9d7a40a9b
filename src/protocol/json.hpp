/// Checked reading of JSON: every codec of this layer goes through these functions.
///
/// A field that may be null may equally be omitted, and fields that nobody asks for are ignored.
/// Whatever is missing, of another kind or out of range throws Malformed, which names the field.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace larkroad::protocol {

using Json = nlohmann::json;

/// A message or record that cannot be read. What it says goes back to whoever sent it, in the body
/// of a 400.
class Malformed : public std::runtime_error {
 public:
  /// The message as a whole, or its sender.
  explicit Malformed(const std::string& problem) : std::runtime_error(problem) {}
  /// One field of it, by its name on the wire.
  Malformed(std::string field, const std::string& problem)
      : std::runtime_error(field + " " + problem), field_(std::move(field)) {}

  /// The field at fault; none: the message as a whole.
  const std::optional<std::string>& field() const { return field_; }

 private:
  std::optional<std::string> field_;
};

/// Parses an object; throws Malformed for anything else, and for a field given twice.
Json parse_object(const std::string& text);

/// The field's value; nullptr: it is null or omitted.
const Json* find(const Json& object, const char* key);
/// The same of a field that must be there.
const Json& need(const Json& object, const char* key);

std::string text(const Json& object, const char* key);
/// An integer from 0 to 2^64 - 1.
std::uint64_t integer(const Json& object, const char* key);
bool boolean(const Json& object, const char* key);
/// A finite decimal number of at least `least`.
double amount(const Json& object, const char* key, double least = 0);
/// The same; `missing` where the field is null or omitted.
double amount_or(const Json& object, const char* key, double missing);
const Json& array(const Json& object, const char* key);
/// Throws unless `item`, of the list `key`, is an object.
void require_object(const Json& item, const char* key);
/// A list of which each item is a string.
std::vector<std::string> array_of_strings(const Json& object, const char* key);

/// The value that a table of wire names and values has for `name`; none: it is not in the table.
template <typename Table>
auto find_named(const Table& table, const std::string& name) {
  using Value = decltype(table.front().second);
  for (const auto& [known, value] : table) {
    if (name == known) return std::optional<Value>(value);
  }
  return std::optional<Value>();
}

/// The value that a table has for the text of a field; throws Malformed if it is not in the table.
template <typename Table>
auto named_value(const Table& table, const Json& object, const char* key) {
  const std::string name = text(object, key);
  const auto value = find_named(table, name);
  if (!value) throw Malformed(key, "is unknown: " + name);
  return *value;
}

/// The wire name that a table has for `value`; nullptr: it has none.
template <typename Table, typename Value>
const char* find_name(const Table& table, const Value& value) {
  for (const auto& [name, known] : table) {
    if (known == value) return name;
  }
  return nullptr;
}

// What these return points into the object, so it must not be a temporary.
const Json* find(Json&&, const char*) = delete;
const Json& need(Json&&, const char*) = delete;
const Json& array(Json&&, const char*) = delete;

}  // namespace larkroad::protocol
