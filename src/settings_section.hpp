/// Checked reading of a TOML file, for settings.cpp.
#pragma once

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include <set>
#include <string>
#include <vector>

#include "settings.hpp"

namespace larkroad {

/// A table of a settings file, with the path that led to it.
///
/// Every error is a SettingsError that names the whole path of the field at fault. Refers to the
/// table, which must outlive it.
class SettingsSection {
 public:
  SettingsSection(const toml::table& table, std::string path)
      : table_(table), path_(std::move(path)) {}

  /// The whole path of a field.
  std::string path_of(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
  }

  bool contains(const char* key) const { return table_.contains(key); }

  /// A string that is not empty.
  std::string text(const char* key) const;
  std::string text_or(const char* key, const std::string& default_value) const;
  std::vector<std::string> texts(const char* key) const;

  /// A finite number of at least `least`.
  double number(const char* key, double least) const;
  double number_or(const char* key, double least, double default_value) const;
  double positive(const char* key) const;
  /// A whole number of at least 1.
  int count(const char* key) const;

  /// HOST:PORT.
  Address address(const char* key) const;

  SettingsSection section(const char* key) const;
  std::vector<SettingsSection> sections(const char* key) const;
  /// The same; none when the field is absent.
  std::vector<SettingsSection> sections_or_none(const char* key) const;

  /// Throws unless all fields of this table are among `known`.
  void refuse_unknown(const std::set<std::string>& known) const;

 private:
  const toml::node& need(const char* key) const;

  const toml::table& table_;
  std::string path_;
};

/// Throws a SettingsError about one field.
[[noreturn]] void fail_field(const std::string& path, const std::string& problem);

/// Throws SettingsError with the line at fault.
toml::table parse_toml(const std::string& text);

}  // namespace larkroad
