#include "protocol/json.hpp"

#include <cmath>
#include <set>

namespace larkroad::protocol {
namespace {

[[noreturn]] void fail(const char* key, const char* what) {
  throw Malformed(std::string(key) + " " + what);
}

}  // namespace

Json parse_object(const std::string& text) {
  std::set<std::string> keys;
  bool twice = false;
  const auto watch = [&](int depth, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::key && depth == 1) {
      twice = !keys.insert(parsed.get<std::string>()).second || twice;
    }
    return true;
  };
  Json out = Json::parse(text, watch, /*allow_exceptions=*/false);
  if (out.is_discarded()) throw Malformed("not JSON");
  if (!out.is_object()) throw Malformed("not an object");
  if (twice) throw Malformed("a field is given twice");
  return out;
}

const Json* find(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& need(const Json& object, const char* key) {
  const Json* value = find(object, key);
  if (value == nullptr) fail(key, "is missing");
  return *value;
}

std::string text(const Json& object, const char* key) {
  const Json& value = need(object, key);
  if (!value.is_string()) fail(key, "must be a string");
  return value.get<std::string>();
}

std::uint64_t integer(const Json& object, const char* key) {
  const Json& value = need(object, key);
  if (!value.is_number_unsigned()) fail(key, "must be a whole number");
  return value.get<std::uint64_t>();
}

bool boolean(const Json& object, const char* key) {
  const Json& value = need(object, key);
  if (!value.is_boolean()) fail(key, "must be true or false");
  return value.get<bool>();
}

double amount(const Json& object, const char* key, double least) {
  const Json& value = need(object, key);
  if (!value.is_number()) fail(key, "must be a number");
  const double out = value.get<double>();
  if (!std::isfinite(out) || out < least) fail(key, "is out of range");
  return out;
}

const Json& array(const Json& object, const char* key) {
  const Json& value = need(object, key);
  if (!value.is_array()) fail(key, "must be a list");
  return value;
}

}  // namespace larkroad::protocol
