/// JSON parsing with validation, used by all codecs of this layer.
///
/// Null and omitted fields are treated alike, and unknown fields are ignored. A field that is
/// missing, of the wrong type or out of range causes a Malformed exception that names it.
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

/// Thrown for a message or record that cannot be parsed. For a message, the text is returned to the
/// sender in the body of a 400 response.
class Malformed : public std::runtime_error {
 public:
  /// A problem with the whole message or with its sender.
  explicit Malformed(const std::string& problem) : std::runtime_error(problem) {}
  /// A problem with one field, identified by its wire name.
  Malformed(std::string field, const std::string& problem)
      : std::runtime_error(field + " " + problem), field_(std::move(field)) {}

  /// The invalid field, or none if the problem concerns the whole message.
  const std::optional<std::string>& field() const { return field_; }

 private:
  std::optional<std::string> field_;
};

/// Parses a JSON object. Throws Malformed for any other input and for duplicate top-level fields.
Json parse_object(const std::string& text);

/// Returns the field's value, or nullptr if it is null or omitted.
const Json* find(const Json& object, const char* key);
/// Returns the value of a required field.
const Json& required_field(const Json& object, const char* key);

std::string text(const Json& object, const char* key);
/// An integer from 0 to 2^64 - 1.
std::uint64_t integer(const Json& object, const char* key);
bool boolean(const Json& object, const char* key);
/// A finite number of at least `minimum`.
double amount(const Json& object, const char* key, double minimum = 0);
/// Like `amount`, but returns `default_value` if the field is null or omitted.
double amount_or(const Json& object, const char* key, double default_value);
const Json& array(const Json& object, const char* key);
/// Throws Malformed unless `item`, an element of the array field `key`, is an object.
void require_object(const Json& item, const char* key);
/// An array of strings.
std::vector<std::string> array_of_strings(const Json& object, const char* key);

/// Looks up `name` in a table of (wire name, value) pairs. Returns none if it is not in the table.
template <typename Table>
auto value_for_name(const Table& table, const std::string& name) {
  using Value = decltype(table.front().second);
  for (const auto& [known, value] : table) {
    if (name == known) return std::optional<Value>(value);
  }
  return std::optional<Value>();
}

/// Looks up the string in a field in a table of (wire name, value) pairs. Throws Malformed if it is
/// not in the table.
template <typename Table>
auto enum_field(const Table& table, const Json& object, const char* key) {
  const std::string name = text(object, key);
  const auto value = value_for_name(table, name);
  if (!value) throw Malformed(key, "is unknown: " + name);
  return *value;
}

/// Returns the wire name of `value`, or nullptr if it is not in the table.
template <typename Table, typename Value>
const char* name_for_value(const Table& table, const Value& value) {
  for (const auto& [name, known] : table) {
    if (known == value) return name;
  }
  return nullptr;
}

// The results point into the object, so temporaries are rejected at compile time.
const Json* find(Json&&, const char*) = delete;
const Json& required_field(Json&&, const char*) = delete;
const Json& array(Json&&, const char*) = delete;

}  // namespace larkroad::protocol
