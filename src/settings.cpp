#include "settings.hpp"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace larkroad {
namespace {

[[noreturn]] void fail(const std::string& field, const std::string& what) {
  throw SettingsError("settings: " + field + " " + what);
}

// A table with the path that led to it, so that an error can name the whole field.
class Section {
 public:
  Section(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

  std::string name(const char* key) const { return path_.empty() ? key : path_ + "." + key; }

  bool contains(const char* key) const { return table_.contains(key); }

  std::string text(const char* key) const {
    const auto* node = need(key);
    const auto value = node->value_exact<std::string>();
    if (!value) fail(name(key), "must be a string");
    if (value->empty()) fail(name(key), "must not be empty");
    return *value;
  }

  std::string text_or(const char* key, const std::string& otherwise) const {
    return table_.contains(key) ? text(key) : otherwise;
  }

  double number(const char* key, double least) const {
    const auto* node = need(key);
    if (!node->is_number()) fail(name(key), "must be a number");
    const double value = *node->value<double>();
    if (!std::isfinite(value) || value < least) {
      std::ostringstream out;
      out << "must be at least " << least << ", not " << value;
      fail(name(key), out.str());
    }
    return value;
  }

  double number_or(const char* key, double least, double otherwise) const {
    return table_.contains(key) ? number(key, least) : otherwise;
  }

  double positive(const char* key) const {
    const double value = number(key, 0);
    if (value <= 0) fail(name(key), "must be greater than 0");
    return value;
  }

  int count(const char* key) const {
    const auto* node = need(key);
    const auto value = node->value_exact<int64_t>();
    if (!value) fail(name(key), "must be a whole number");
    if (*value < 1 || *value > 1'000'000'000) fail(name(key), "must be at least 1");
    return static_cast<int>(*value);
  }

  Address address(const char* key) const {
    const std::string value = text(key);
    const auto colon = value.rfind(':');
    Address out;
    unsigned long port = 0;
    try {
      size_t used = 0;
      if (colon != std::string::npos && colon > 0) {
        port = std::stoul(value.substr(colon + 1), &used);
        if (used != value.size() - colon - 1) port = 0;
      }
    } catch (const std::exception&) {
      port = 0;
    }
    if (port == 0 || port > 65535) fail(name(key), "must be HOST:PORT, not '" + value + "'");
    out.host = value.substr(0, colon);
    out.port = static_cast<unsigned short>(port);
    return out;
  }

  Section section(const char* key) const {
    const auto* node = need(key);
    if (!node->is_table()) fail(name(key), "must be a table");
    return Section(*node->as_table(), name(key));
  }

  std::vector<Section> sections(const char* key, bool required) const {
    std::vector<Section> out;
    const auto* node = table_.get(key);
    if (node == nullptr) {
      if (required) fail(name(key), "is missing");
      return out;
    }
    const auto* array = node->as_array();
    if (array == nullptr) fail(name(key), "must be a list of tables");
    for (size_t i = 0; i < array->size(); ++i) {
      const std::string path = name(key) + "[" + std::to_string(i) + "]";
      const auto* table = array->get(i)->as_table();
      if (table == nullptr) fail(path, "must be a table");
      out.emplace_back(*table, path);
    }
    return out;
  }

  std::vector<std::string> texts(const char* key) const {
    const auto* array = need(key)->as_array();
    if (array == nullptr) fail(name(key), "must be a list of strings");
    std::vector<std::string> out;
    for (const auto& item : *array) {
      const auto value = item.value_exact<std::string>();
      if (!value || value->empty()) fail(name(key), "must be a list of strings");
      out.push_back(*value);
    }
    if (out.empty()) fail(name(key), "must not be empty");
    return out;
  }

 private:
  friend void refuse_unknown(const Section& section, const std::set<std::string>& known);
  const toml::node* need(const char* key) const {
    const auto* node = table_.get(key);
    if (node == nullptr) fail(name(key), "is missing");
    return node;
  }

  const toml::table& table_;
  std::string path_;
};

// A word that nobody reads is a mistake where operators write the file themselves.
void refuse_unknown(const Section& section, const std::set<std::string>& known) {
  for (const auto& [key, value] : section.table_) {
    const std::string word(key.str());
    if (!known.contains(word)) fail(section.name(word.c_str()), "is not known");
  }
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

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw SettingsError("settings: cannot read " + path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

const TeamSettings* Settings::team(const std::string& name) const {
  for (const auto& team : teams) {
    if (team.name == name) return &team;
  }
  return nullptr;
}

namespace {

StoreLimits parse_state_limits(const Section& state) {
  StoreLimits out;
  out.rps = state.positive("rps");
  out.write_rps = state.positive("write_rps");
  out.value_kb = state.positive("value_kb");
  out.max_transaction_changes = state.count("txn_ops");
  return out;
}

// What is not named stays as it is at present.
StoreLimits parse_next_store_limits(const Section& state, const StoreLimits& present) {
  if (!state.contains("next")) return present;
  const Section next = state.section("next");
  StoreLimits out = present;
  if (next.contains("rps")) out.rps = next.positive("rps");
  if (next.contains("write_rps")) out.write_rps = next.positive("write_rps");
  if (next.contains("value_kb")) out.value_kb = next.positive("value_kb");
  if (next.contains("txn_ops")) out.max_transaction_changes = next.count("txn_ops");
  return out;
}

}  // namespace

StoreLimits Settings::lasting_store_limits() const {
  return {std::min(store_limits.value_kb, next_store_limits.value_kb),
          std::min(store_limits.max_transaction_changes, next_store_limits.max_transaction_changes),
          std::min(store_limits.write_rps, next_store_limits.write_rps),
          std::min(store_limits.rps, next_store_limits.rps)};
}

Settings parse_settings(const std::string& toml_text) {
  const toml::table table = parse_toml(toml_text);
  const Section root(table, "");
  Settings s;
  s.member = root.text("member");
  s.zone = root.text("zone");
  s.client_listen = root.address("client_listen");
  s.peer_bind = root.address("peer_bind");
  std::set<std::string> members{s.member};
  for (const auto& peer : root.sections("peers", false)) {
    PeerSettings p{peer.text("member"), peer.text("zone"), peer.address("addr")};
    if (!members.insert(p.member).second) fail(peer.name("member"), "is named twice: " + p.member);
    s.peers.push_back(std::move(p));
  }
  const auto endpoints = root.section("endpoints");
  s.cloud = endpoints.address("cloud");
  s.state = endpoints.address("state");

  const auto cluster = root.section("cluster");
  s.zones = cluster.texts("zones");
  s.clock_error_s = cluster.number_or("clock_error_ms", 0, 0) / 1000;
  for (const auto& team : cluster.sections("teams", true)) {
    TeamSettings t;
    t.name = team.text("name");
    t.cpus = team.number_or("cpus", 0, 0);
    t.cpus_max = team.number_or("cpus_max", 0, t.cpus);
    t.gpus = team.number_or("gpus", 0, 0);
    t.gpus_max = team.number_or("gpus_max", 0, t.gpus);
    // 0 means none: a guest team has neither a guarantee nor a limit. Taken for a limit of nothing,
    // all that such a team sent was refused. One with a limit of one kind only has none of the
    // other kind, which is the reading that can break no limit.
    if (t.cpus_max < t.cpus) fail(team.name("cpus_max"), "must not be less than cpus");
    if (t.gpus_max < t.gpus) fail(team.name("gpus_max"), "must not be less than gpus");
    if (t.cpus_max == 0 && t.gpus_max == 0) t.cpus_max = t.gpus_max = kNoLimit;
    if (s.team(t.name) != nullptr) fail(team.name("name"), "is named twice: " + t.name);
    s.teams.push_back(std::move(t));
  }
  for (const auto& goal : cluster.sections("objectives", false)) {
    Objective o;
    o.kind = goal.text("kind");
    o.job_class = goal.text_or("class", "");
    o.within_s = goal.number_or("within_s", 0, 0);
    o.after_s = goal.number_or("after_s", 0, 0);
    o.share = goal.number_or("share", 0, 0);
    o.times = goal.number_or("times", 0, 1);
    s.objectives.push_back(std::move(o));
  }
  const auto workers = cluster.section("workers");
  s.heartbeat_interval_s = workers.positive("report_s");
  s.lease_s = workers.positive("lease_s");
  s.gang_wait_s = workers.positive("gang_wait_s");
  s.gang_peer_s = workers.positive("gang_peer_s");
  s.cancellation_limit_s = workers.positive("cancel_s");
  if (s.lease_s <= s.heartbeat_interval_s) {
    fail(workers.name("lease_s"), "must be greater than " + workers.name("report_s"));
  }
  if (s.cancellation_limit_s <= s.lease_s) {
    fail(workers.name("cancel_s"), "must be greater than " + workers.name("lease_s"));
  }
  const auto state = cluster.section("state");
  s.store_limits = parse_state_limits(state);
  s.next_store_limits = parse_next_store_limits(state, s.store_limits);
  const auto cloud = cluster.section("cloud");
  s.cloud_rps = cloud.positive("rps");
  s.list_lag_s = cloud.number("list_lag_s", 0);
  const auto resources = cluster.section("resources");
  s.cpu_share = resources.positive("cpu");
  s.memory_mb = resources.positive("ram_mb");
  s.sockets = resources.count("sockets");
  return s;
}

Settings load_settings(const std::string& path) { return parse_settings(read_file(path)); }

OperatorSettings parse_operators(const std::string& toml_text) {
  const toml::table table = parse_toml(toml_text);
  const Section root(table, "");
  refuse_unknown(root, {"gangs", "starts"});
  OperatorSettings s;
  if (table.contains("gangs")) {
    const Section gangs = root.section("gangs");
    refuse_unknown(gangs, {"hold_s"});
    if (table["gangs"].as_table()->contains("hold_s"))
      s.reservation_limit_s = gangs.positive("hold_s");
  }
  if (table.contains("starts")) {
    const Section starts = root.section("starts");
    refuse_unknown(starts, {"bound_s"});
    s.start_bound_s = starts.number_or("bound_s", 0, s.start_bound_s);
  }
  return s;
}

OperatorSettings load_operators(const std::string& path) {
  return parse_operators(read_file(path));
}

}  // namespace larkroad
