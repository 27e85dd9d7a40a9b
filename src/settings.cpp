#include "settings.hpp"

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <set>
#include <sstream>
#include <system_error>

#include "settings_section.hpp"

namespace larkroad {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

std::string read_file(const std::string& path) {
  errno = 0;
  std::ifstream in(path);
  if (!in) {
    throw SettingsError("settings: cannot read " + path + ": " +
                        std::generic_category().message(errno));
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Parses the content of a file and adds the file's path to any error.
template <typename Parse>
auto parse_file(const std::string& path, Parse parse) {
  const std::string text = read_file(path);
  try {
    return parse(text);
  } catch (const SettingsError& error) {
    throw SettingsError(std::string(error.what()) + " (in " + path + ")");
  }
}

// Throws SettingsError for a number that is inconsistent with another field.
[[noreturn]] void throw_number_error(const std::string& path, const std::string& relation,
                                     const std::string& other, double other_value, double found) {
  std::ostringstream problem;
  problem << "must be " << relation << " " << other << " (" << other_value << "), not " << found;
  throw_field_error(path, problem.str());
}

void parse_members(const SettingsSection& root, Settings& settings) {
  settings.member = root.string("member");
  settings.zone = root.string("zone");
  settings.client_listen = root.address("client_listen");
  settings.peer_bind = root.address("peer_bind");
  std::set<std::string> members{settings.member};
  for (const SettingsSection& section : root.sections_or_empty("peers")) {
    PeerSettings peer{section.string("member"), section.string("zone"), section.address("addr")};
    if (!members.insert(peer.member).second) {
      throw_field_error(section.path_of("member"),
                        "must be unique among the members, but '" + peer.member + "' is repeated");
    }
    settings.peers.push_back(std::move(peer));
  }
}

void parse_endpoints(const SettingsSection& endpoints, Settings& settings) {
  settings.cloud = endpoints.address("cloud");
  settings.state = endpoints.address("state");
}

TeamSettings parse_team(const SettingsSection& section) {
  TeamSettings team;
  team.name = section.string("name");
  team.cpus = section.number_or("cpus", 0, 0);
  team.cpus_max = section.number_or("cpus_max", 0, team.cpus);
  team.gpus = section.number_or("gpus", 0, 0);
  team.gpus_max = section.number_or("gpus_max", 0, team.gpus);
  if (team.cpus_max < team.cpus) {
    throw_number_error(section.path_of("cpus_max"), "at least", section.path_of("cpus"), team.cpus,
                       team.cpus_max);
  }
  if (team.gpus_max < team.gpus) {
    throw_number_error(section.path_of("gpus_max"), "at least", section.path_of("gpus"), team.gpus,
                       team.gpus_max);
  }
  // 0 means that no limit is set: a team without a quota has neither a guarantee nor a limit. When
  // 0 was treated as a limit of zero, all submissions from such teams were rejected. A team with a
  // limit on only one resource may use none of the other, as this interpretation cannot violate any
  // limit.
  if (team.cpus_max == 0 && team.gpus_max == 0) {
    team.cpus_max = kNoLimit;
    team.gpus_max = kNoLimit;
  }
  return team;
}

void parse_teams(const SettingsSection& cluster, Settings& settings) {
  for (const SettingsSection& section : cluster.sections("teams")) {
    TeamSettings team = parse_team(section);
    if (settings.team(team.name) != nullptr) {
      throw_field_error(section.path_of("name"),
                        "must be unique among the teams, but '" + team.name + "' is repeated");
    }
    settings.teams.push_back(std::move(team));
  }
}

Objective parse_objective(const SettingsSection& section) {
  Objective objective;
  objective.kind = section.string("kind");
  objective.job_class = section.string_or("class", "");
  objective.within_s = section.number_or("within_s", 0, 0);
  objective.after_s = section.number_or("after_s", 0, 0);
  objective.share = section.number_or("share", 0, 0);
  objective.times = section.number_or("times", 0, 1);
  return objective;
}

void parse_workers(const SettingsSection& workers, Settings& settings) {
  settings.heartbeat_interval_s = workers.positive_number("report_s");
  settings.lease_s = workers.positive_number("lease_s");
  settings.gang_wait_s = workers.positive_number("gang_wait_s");
  settings.gang_peer_s = workers.positive_number("gang_peer_s");
  settings.cancellation_limit_s = workers.positive_number("cancel_s");
  if (settings.lease_s <= settings.heartbeat_interval_s) {
    throw_number_error(workers.path_of("lease_s"), "greater than", workers.path_of("report_s"),
                       settings.heartbeat_interval_s, settings.lease_s);
  }
  if (settings.cancellation_limit_s <= settings.lease_s) {
    throw_number_error(workers.path_of("cancel_s"), "greater than", workers.path_of("lease_s"),
                       settings.lease_s, settings.cancellation_limit_s);
  }
}

StoreLimits parse_store_limits(const SettingsSection& state) {
  StoreLimits limits;
  limits.rps = state.positive_number("rps");
  limits.write_rps = state.positive_number("write_rps");
  limits.value_kb = state.positive_number("value_kb");
  limits.max_transaction_changes = state.positive_integer("txn_ops");
  return limits;
}

// A limit that is not given keeps its current value.
StoreLimits parse_next_store_limits(const SettingsSection& state, const StoreLimits& current) {
  if (!state.contains("next")) return current;
  const SettingsSection next = state.section("next");
  StoreLimits limits = current;
  if (next.contains("rps")) limits.rps = next.positive_number("rps");
  if (next.contains("write_rps")) limits.write_rps = next.positive_number("write_rps");
  if (next.contains("value_kb")) limits.value_kb = next.positive_number("value_kb");
  if (next.contains("txn_ops")) limits.max_transaction_changes = next.positive_integer("txn_ops");
  return limits;
}

void parse_cluster(const SettingsSection& cluster, Settings& settings) {
  settings.zones = cluster.strings("zones");
  settings.clock_error_s = cluster.number_or("clock_error_ms", 0, 0) / kMillisecondsPerSecond;
  parse_teams(cluster, settings);
  for (const SettingsSection& section : cluster.sections_or_empty("objectives")) {
    settings.objectives.push_back(parse_objective(section));
  }
  parse_workers(cluster.section("workers"), settings);
  const SettingsSection state = cluster.section("state");
  settings.store_limits = parse_store_limits(state);
  settings.next_store_limits = parse_next_store_limits(state, settings.store_limits);
  const SettingsSection cloud = cluster.section("cloud");
  settings.cloud_rps = cloud.positive_number("rps");
  settings.list_lag_s = cloud.number("list_lag_s", 0);
  const SettingsSection resources = cluster.section("resources");
  settings.cpu_share = resources.positive_number("cpu");
  settings.memory_mb = resources.positive_number("ram_mb");
  settings.sockets = resources.positive_integer("sockets");
}

}  // namespace

const TeamSettings* Settings::team(const std::string& name) const {
  const auto it = std::find_if(teams.begin(), teams.end(),
                               [&](const TeamSettings& team) { return team.name == name; });
  return it == teams.end() ? nullptr : &*it;
}

StoreLimits Settings::strictest_store_limits() const {
  return {std::min(store_limits.value_kb, next_store_limits.value_kb),
          std::min(store_limits.max_transaction_changes, next_store_limits.max_transaction_changes),
          std::min(store_limits.write_rps, next_store_limits.write_rps),
          std::min(store_limits.rps, next_store_limits.rps)};
}

Settings parse_settings(const std::string& toml_text) {
  const toml::table table = parse_toml(toml_text);
  const SettingsSection root(table, "");
  Settings settings;
  parse_members(root, settings);
  parse_endpoints(root.section("endpoints"), settings);
  parse_cluster(root.section("cluster"), settings);
  return settings;
}

Settings load_settings(const std::string& path) { return parse_file(path, parse_settings); }

// Operators edit this file by hand, so an unknown field is most likely a mistake.
OperatorSettings parse_operators(const std::string& toml_text) {
  const toml::table table = parse_toml(toml_text);
  const SettingsSection root(table, "");
  root.reject_unknown_fields({"gangs", "starts"});
  OperatorSettings settings;
  if (root.contains("gangs")) {
    const SettingsSection gangs = root.section("gangs");
    gangs.reject_unknown_fields({"hold_s"});
    if (gangs.contains("hold_s")) settings.reservation_limit_s = gangs.positive_number("hold_s");
  }
  if (root.contains("starts")) {
    const SettingsSection starts = root.section("starts");
    starts.reject_unknown_fields({"bound_s"});
    settings.start_bound_s = starts.number_or("bound_s", 0, settings.start_bound_s);
  }
  return settings;
}

OperatorSettings load_operators(const std::string& path) {
  return parse_file(path, parse_operators);
}

}  // namespace larkroad
