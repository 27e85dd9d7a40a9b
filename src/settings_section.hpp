/// Validated access to the tables of a TOML file, used by settings.cpp.
#pragma once

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include <set>
#include <string>
#include <vector>

#include "settings.hpp"

namespace larkroad {

/// A table of a settings file, together with its path.
///
/// All errors are reported as SettingsError with the full path of the invalid field. Holds a
/// reference to the table, which must outlive it.
class SettingsSection {
 public:
  SettingsSection(const toml::table& table, std::string path)
      : table_(table), path_(std::move(path)) {}

  /// Returns the full path of a field.
  std::string path_of(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
  }

  bool contains(const char* key) const { return table_.contains(key); }

  /// A non-empty string.
  std::string string(const char* key) const;
  std::string string_or(const char* key, const std::string& default_value) const;
  std::vector<std::string> strings(const char* key) const;

  /// A finite number of at least `minimum`.
  double number(const char* key, double minimum) const;
  double number_or(const char* key, double minimum, double default_value) const;
  double positive_number(const char* key) const;
  /// An integer of at least 1.
  int positive_integer(const char* key) const;

  /// An address of the form HOST:PORT.
  Address address(const char* key) const;

  SettingsSection section(const char* key) const;
  std::vector<SettingsSection> sections(const char* key) const;
  /// Like `sections`, but returns an empty list if the field is absent.
  std::vector<SettingsSection> sections_or_empty(const char* key) const;

  /// Throws if this table has a field that is not in `known`.
  void reject_unknown_fields(const std::set<std::string>& known) const;

 private:
  /// Returns a required field. `expected`: what it must be, for the error if it is missing.
  const toml::node& require(const char* key, const char* expected) const;

  const toml::table& table_;
  std::string path_;
};

/// Throws SettingsError for one field.
[[noreturn]] void throw_field_error(const std::string& path, const std::string& problem);

/// Throws SettingsError with the position of a syntax error.
toml::table parse_toml(const std::string& text);

}  // namespace larkroad
