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

// Returns the value as it is written in a TOML file, or the kind of a table or list.
std::string describe(const toml::node& node) {
  if (node.is_table()) return "a table";
  if (node.is_array()) return "a list";
  std::ostringstream out;
  node.visit([&out](const auto& value) { out << value; });
  return out.str();
}

[[noreturn]] void throw_mismatch(const std::string& path, const std::string& expected,
                                 const toml::node& found) {
  throw_field_error(path, "must be " + expected + ", not " + describe(found));
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
    out << "settings: not TOML: " << error.description() << " at line " << error.source().begin.line
        << ", column " << error.source().begin.column;
    throw SettingsError(out.str());
  }
}

const toml::node& SettingsSection::require(const char* key, const char* expected) const {
  const auto* node = table_.get(key);
  if (node == nullptr) {
    throw_field_error(path_of(key), "is missing, must be " + std::string(expected));
  }
  return *node;
}

std::string SettingsSection::string(const char* key) const {
  const toml::node& node = require(key, "a string");
  const auto value = node.value_exact<std::string>();
  if (!value) throw_mismatch(path_of(key), "a string", node);
  if (value->empty()) throw_field_error(path_of(key), "must not be empty");
  return *value;
}

std::string SettingsSection::string_or(const char* key, const std::string& default_value) const {
  return contains(key) ? string(key) : default_value;
}

std::vector<std::string> SettingsSection::strings(const char* key) const {
  const toml::node& node = require(key, "a list of strings");
  const auto* array = node.as_array();
  if (array == nullptr) throw_mismatch(path_of(key), "a list of strings", node);
  std::vector<std::string> out;
  for (const auto& item : *array) {
    const auto value = item.value_exact<std::string>();
    if (!value || value->empty()) {
      const std::string item_path = path_of(key) + "[" + std::to_string(out.size()) + "]";
      throw_mismatch(item_path, "a non-empty string", item);
    }
    out.push_back(*value);
  }
  if (out.empty()) throw_field_error(path_of(key), "must not be empty: it is a list of strings");
  return out;
}

double SettingsSection::number(const char* key, double minimum) const {
  const toml::node& node = require(key, "a number");
  if (!node.is_number()) throw_mismatch(path_of(key), "a number", node);
  const double value = *node.value<double>();
  if (!std::isfinite(value) || value < minimum) {
    std::ostringstream problem;
    problem << "a finite number of at least " << minimum;
    throw_mismatch(path_of(key), problem.str(), node);
  }
  return value;
}

double SettingsSection::number_or(const char* key, double minimum, double default_value) const {
  return contains(key) ? number(key, minimum) : default_value;
}

double SettingsSection::positive_number(const char* key) const {
  const double value = number(key, 0);
  if (value <= 0) throw_mismatch(path_of(key), "greater than 0", require(key, "a number"));
  return value;
}

int SettingsSection::positive_integer(const char* key) const {
  const toml::node& node = require(key, "a whole number");
  const auto value = node.value_exact<std::int64_t>();
  if (!value) throw_mismatch(path_of(key), "a whole number", node);
  if (*value < 1 || *value > kMaxCount) {
    throw_mismatch(path_of(key), "from 1 to " + std::to_string(kMaxCount), node);
  }
  return static_cast<int>(*value);
}

Address SettingsSection::address(const char* key) const {
  const std::string value = string(key);
  const auto colon = value.rfind(':');
  std::optional<unsigned short> port;
  if (colon != std::string::npos && colon > 0) port = parse_port(value.substr(colon + 1));
  if (!port)
    throw_field_error(path_of(key), "must be HOST:PORT, with a port from 1 to " +
                                        std::to_string(kMaxPort) + ", not '" + value + "'");
  return {value.substr(0, colon), *port};
}

SettingsSection SettingsSection::section(const char* key) const {
  const toml::node& node = require(key, "a table");
  const auto* table = node.as_table();
  if (table == nullptr) throw_mismatch(path_of(key), "a table", node);
  return {*table, path_of(key)};
}

std::vector<SettingsSection> SettingsSection::sections(const char* key) const {
  const toml::node& node = require(key, "a list of tables");
  const auto* array = node.as_array();
  if (array == nullptr) throw_mismatch(path_of(key), "a list of tables", node);
  std::vector<SettingsSection> out;
  for (size_t i = 0; i < array->size(); ++i) {
    const std::string path = path_of(key) + "[" + std::to_string(i) + "]";
    const auto* table = array->get(i)->as_table();
    if (table == nullptr) throw_mismatch(path, "a table", *array->get(i));
    out.emplace_back(*table, path);
  }
  return out;
}

std::vector<SettingsSection> SettingsSection::sections_or_empty(const char* key) const {
  if (!contains(key)) return {};
  return sections(key);
}

void SettingsSection::reject_unknown_fields(const std::set<std::string>& known) const {
  std::string known_list;
  for (const std::string& field : known) {
    known_list += (known_list.empty() ? "" : ", ") + field;
  }
  for (const auto& [key, value] : table_) {
    const std::string field(key.str());
    if (!known.contains(field)) {
      throw_field_error(path_of(field), "is not a known field, must be one of: " + known_list);
    }
  }
}

}  // namespace larkroad
