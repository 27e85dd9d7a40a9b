#include "settings_section.hpp"

#include <cmath>
#include <cstdint>
#include <optional>
#include <sstream>
#include <utility>

namespace larkroad {
namespace {

constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr unsigned long kMaxPort = 65535;

// Returns none unless the whole text is a valid port number.
std::optional<unsigned short> parse_port(const std::string& text) {
  try {
    size_t parsed = 0;
    const unsigned long port = std::stoul(text, &parsed);
    if (parsed != text.size() || port == 0 || port > kMaxPort) return std::nullopt;
    return static_cast<unsigned short>(port);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

void throw_field_error(const std::string& path, const std::string& problem) {
  throw SettingsError("settings: " + path + " " + problem);
}

toml::table parse_toml(const std::string& text) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    std::ostringstream out;
    out << "settings: not TOML: " << error.description() << " at line "
        << error.source().begin.line;
    throw SettingsError(out.str());
  }
}

const toml::node& SettingsSection::require(const char* key) const {
  const auto* node = table_.get(key);
  if (node == nullptr) throw_field_error(path_of(key), "is missing");
  return *node;
}

std::string SettingsSection::string(const char* key) const {
  const auto value = require(key).value_exact<std::string>();
  if (!value) throw_field_error(path_of(key), "must be a string");
  if (value->empty()) throw_field_error(path_of(key), "must not be empty");
  return *value;
}

std::string SettingsSection::string_or(const char* key, const std::string& default_value) const {
  return contains(key) ? string(key) : default_value;
}

std::vector<std::string> SettingsSection::strings(const char* key) const {
  const auto* array = require(key).as_array();
  if (array == nullptr) throw_field_error(path_of(key), "must be a list of strings");
  std::vector<std::string> out;
  for (const auto& item : *array) {
    const auto value = item.value_exact<std::string>();
    if (!value || value->empty()) throw_field_error(path_of(key), "must be a list of strings");
    out.push_back(*value);
  }
  if (out.empty()) throw_field_error(path_of(key), "must not be empty");
  return out;
}

double SettingsSection::number(const char* key, double minimum) const {
  const toml::node& node = require(key);
  if (!node.is_number()) throw_field_error(path_of(key), "must be a number");
  const double value = *node.value<double>();
  if (!std::isfinite(value) || value < minimum) {
    std::ostringstream problem;
    problem << "must be at least " << minimum << ", not " << value;
    throw_field_error(path_of(key), problem.str());
  }
  return value;
}

double SettingsSection::number_or(const char* key, double minimum, double default_value) const {
  return contains(key) ? number(key, minimum) : default_value;
}

double SettingsSection::positive_number(const char* key) const {
  const double value = number(key, 0);
  if (value <= 0) throw_field_error(path_of(key), "must be greater than 0");
  return value;
}

int SettingsSection::positive_integer(const char* key) const {
  const auto value = require(key).value_exact<std::int64_t>();
  if (!value) throw_field_error(path_of(key), "must be a whole number");
  if (*value < 1 || *value > kMaxCount) throw_field_error(path_of(key), "must be at least 1");
  return static_cast<int>(*value);
}

Address SettingsSection::address(const char* key) const {
  const std::string value = string(key);
  const auto colon = value.rfind(':');
  std::optional<unsigned short> port;
  if (colon != std::string::npos && colon > 0) port = parse_port(value.substr(colon + 1));
  if (!port) throw_field_error(path_of(key), "must be HOST:PORT, not '" + value + "'");
  return {value.substr(0, colon), *port};
}

SettingsSection SettingsSection::section(const char* key) const {
  const auto* table = require(key).as_table();
  if (table == nullptr) throw_field_error(path_of(key), "must be a table");
  return {*table, path_of(key)};
}

std::vector<SettingsSection> SettingsSection::sections(const char* key) const {
  const auto* array = require(key).as_array();
  if (array == nullptr) throw_field_error(path_of(key), "must be a list of tables");
  std::vector<SettingsSection> out;
  for (size_t i = 0; i < array->size(); ++i) {
    const std::string path = path_of(key) + "[" + std::to_string(i) + "]";
    const auto* table = array->get(i)->as_table();
    if (table == nullptr) throw_field_error(path, "must be a table");
    out.emplace_back(*table, path);
  }
  return out;
}

std::vector<SettingsSection> SettingsSection::sections_or_empty(const char* key) const {
  if (!contains(key)) return {};
  return sections(key);
}

void SettingsSection::reject_unknown_fields(const std::set<std::string>& known) const {
  for (const auto& [key, value] : table_) {
    const std::string field(key.str());
    if (!known.contains(field)) throw_field_error(path_of(field), "is not known");
  }
}

}  // namespace larkroad
