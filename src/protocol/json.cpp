#include "protocol/json.hpp"

#include <cmath>
#include <set>

namespace larkroad::protocol {

Json parse_object(const std::string& text) {
  std::set<std::string> keys;
  bool duplicate = false;
  const auto record_key = [&](int depth, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::key && depth == 1) {
      const bool is_new = keys.insert(parsed.get<std::string>()).second;
      duplicate = duplicate || !is_new;
    }
    return true;
  };
  Json out = Json::parse(text, record_key, /*allow_exceptions=*/false);
  if (out.is_discarded()) throw Malformed("not JSON");
  if (!out.is_object()) throw Malformed("not an object");
  if (duplicate) throw Malformed("a field is given twice");
  return out;
}

const Json* find(const Json& object, const char* key) {
  const auto field = object.find(key);
  return field == object.end() || field->is_null() ? nullptr : &*field;
}

const Json& required_field(const Json& object, const char* key) {
  const Json* value = find(object, key);
  if (value == nullptr) throw Malformed(key, "is missing");
  return *value;
}

std::string text(const Json& object, const char* key) {
  const Json& value = required_field(object, key);
  if (!value.is_string()) throw Malformed(key, "must be a string");
  return value.get<std::string>();
}

std::uint64_t integer(const Json& object, const char* key) {
  const Json& value = required_field(object, key);
  if (!value.is_number_unsigned()) throw Malformed(key, "must be a whole number");
  return value.get<std::uint64_t>();
}

bool boolean(const Json& object, const char* key) {
  const Json& value = required_field(object, key);
  if (!value.is_boolean()) throw Malformed(key, "must be true or false");
  return value.get<bool>();
}

double amount(const Json& object, const char* key, double minimum) {
  const Json& value = required_field(object, key);
  if (!value.is_number()) throw Malformed(key, "must be a number");
  const double out = value.get<double>();
  if (!std::isfinite(out) || out < minimum) throw Malformed(key, "is out of range");
  return out;
}

double amount_or(const Json& object, const char* key, double default_value) {
  return find(object, key) != nullptr ? amount(object, key) : default_value;
}

const Json& array(const Json& object, const char* key) {
  const Json& value = required_field(object, key);
  if (!value.is_array()) throw Malformed(key, "must be a list");
  return value;
}

void require_object(const Json& item, const char* key) {
  if (!item.is_object()) throw Malformed(key, "must be a list of objects");
}

std::vector<std::string> array_of_strings(const Json& object, const char* key) {
  std::vector<std::string> out;
  for (const Json& item : array(object, key)) {
    if (!item.is_string()) throw Malformed(key, "must be a list of strings");
    out.push_back(item.get<std::string>());
  }
  return out;
}

}  // namespace larkroad::protocol
