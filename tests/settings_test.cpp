#include "settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "support.hpp"

namespace larkroad {
namespace {

std::string with_replacement(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(Settings, ReadsEveryField) {
  const Settings s = testing::settings();
  EXPECT_EQ(s.member, "node-0");
  EXPECT_EQ(s.client_listen.text(), "127.0.0.1:18080");
  ASSERT_EQ(s.peers.size(), 2u);
  EXPECT_EQ(s.peers[1].addr.host, "127.0.0.3");
  ASSERT_EQ(s.teams.size(), 2u);
  EXPECT_DOUBLE_EQ(s.team("red")->gpus_max, 4);
  EXPECT_DOUBLE_EQ(s.team("blue")->gpus_max, 0);
  // A team without a quota has neither a guarantee nor a limit.
  for (const char* given : {"", "cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"}) {
    const auto with_guests =
        parse_settings(with_replacement(testing::settings_text(), "[[cluster.objectives]]",
                                        "[[cluster.teams]]\nname = \"guests\"\n" +
                                            std::string(given) + "\n[[cluster.objectives]]"));
    EXPECT_DOUBLE_EQ(with_guests.team("guests")->cpus, 0) << given;
    EXPECT_DOUBLE_EQ(with_guests.team("guests")->cpus_max, kNoLimit) << given;
    EXPECT_DOUBLE_EQ(with_guests.team("guests")->gpus_max, kNoLimit) << given;
  }
  EXPECT_EQ(s.team("green"), nullptr);
  ASSERT_EQ(s.objectives.size(), 1u);
  EXPECT_DOUBLE_EQ(s.objectives[0].within_s, 1);
  EXPECT_DOUBLE_EQ(s.clock_error_s, 0.1);
  EXPECT_EQ(s.store_limits.max_transaction_changes, 8);
  EXPECT_EQ(s.sockets, 200);
}

TEST(Settings, NextStoreLimits) {
  const std::string text = testing::settings_text();
  const Settings none = parse_settings(text);
  EXPECT_DOUBLE_EQ(none.next_store_limits.value_kb, 4);
  EXPECT_EQ(none.strictest_store_limits().max_transaction_changes, 8);
  const std::string next = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 16\nwrite_rps = 18.0\n";
  const Settings some = parse_settings(text + next);
  EXPECT_DOUBLE_EQ(some.store_limits.value_kb, 4);
  EXPECT_DOUBLE_EQ(some.next_store_limits.value_kb, 2);
  EXPECT_DOUBLE_EQ(some.next_store_limits.rps, 100)
      << "a limit that is not given keeps its current value";
  // The smaller of the current and the next value of each limit.
  EXPECT_DOUBLE_EQ(some.strictest_store_limits().value_kb, 2);
  EXPECT_DOUBLE_EQ(some.strictest_store_limits().write_rps, 18);
  EXPECT_EQ(some.strictest_store_limits().max_transaction_changes, 8);
  for (const char* invalid :
       {"value_kb = 0.0", "txn_ops = 2.5", "write_rps = -1.0", "rps = \"x\""}) {
    EXPECT_THROW(parse_settings(text + "[cluster.state.next]\n" + invalid), SettingsError)
        << invalid;
  }
}

TEST(Settings, UnknownFieldsAreIgnored) {
  EXPECT_NO_THROW(parse_settings(testing::settings_text() + "\n[cluster.future]\nx = 1\n"));
  EXPECT_NO_THROW(parse_settings("future = [1, 2]\n" + testing::settings_text()));
}

TEST(Settings, ErrorsNameTheField) {
  const struct {
    const char* from;
    const char* to;
    const char* named;
    const char* problem;  // must be part of the text
  } cases[] = {
      {"member = \"node-0\"", "", "member", "is missing, must be a string"},
      {"zone = \"east\"", "zone = 3", "zone", "must be a string, not 3"},
      {"client_listen = \"127.0.0.1:18080\"", "client_listen = \"127.0.0.1\"", "client_listen",
       "must be HOST:PORT, with a port from 1 to 65535, not '127.0.0.1'"},
      {"client_listen = \"127.0.0.1:18080\"", "client_listen = \"127.0.0.1:99999\"",
       "client_listen", "not '127.0.0.1:99999'"},
      {"peer_bind = \"127.0.0.1:18081\"", "peer_bind = \"127.0.0.1:80x\"", "peer_bind",
       "not '127.0.0.1:80x'"},
      {"member = \"node-1\"", "member = \"node-0\"", "peers[0].member", "'node-0' is repeated"},
      {"cloud = \"127.0.0.9:443\"", "", "endpoints.cloud", "is missing, must be a string"},
      {"zones = [\"east\", \"west\"]", "zones = []", "cluster.zones", "must not be empty"},
      {"zones = [\"east\", \"west\"]", "zones = [\"east\", 3]", "cluster.zones[1]",
       "must be a non-empty string, not 3"},
      {"zones = [\"east\", \"west\"]", "zones = \"east\"", "cluster.zones",
       "must be a list of strings, not "},
      {"cpus_max = 32.0", "cpus_max = 8.0", "cluster.teams[0].cpus_max",
       "must be at least cluster.teams[0].cpus (16), not 8"},
      {"cpus_max = 32.0", "cpus_max = -1.0", "cluster.teams[0].cpus_max",
       "must be a finite number of at least 0, not -1"},
      {"name = \"blue\"", "name = \"red\"", "cluster.teams[1].name", "'red' is repeated"},
      {"report_s = 2.0", "report_s = 0.0", "cluster.workers.report_s",
       "must be greater than 0, not 0"},
      {"report_s = 2.0", "report_s = nan", "cluster.workers.report_s",
       "must be a finite number of at least 0, not nan"},
      {"lease_s = 12.0", "lease_s = 1.0", "cluster.workers.lease_s",
       "must be greater than cluster.workers.report_s (2), not 1"},
      {"cancel_s = 30.0", "cancel_s = 12.0", "cluster.workers.cancel_s",
       "must be greater than cluster.workers.lease_s (12), not 12"},
      {"txn_ops = 8", "txn_ops = 8.5", "cluster.state.txn_ops", "must be a whole number, not 8.5"},
      {"txn_ops = 8", "txn_ops = 0", "cluster.state.txn_ops",
       "must be from 1 to 1000000000, not 0"},
      {"rps = 100.0", "rps = \"many\"", "cluster.state.rps", "must be a number, not "},
      {"sockets = 200", "", "cluster.resources.sockets", "is missing, must be a whole number"},
      {"[cluster.cloud]", "[cluster.sky]", "cluster.cloud", "is missing, must be a table"},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(std::string(c.from) + " -> " + c.to);
    try {
      parse_settings(with_replacement(testing::settings_text(), c.from, c.to));
      ADD_FAILURE() << "accepted";
    } catch (const SettingsError& error) {
      EXPECT_NE(std::string(error.what()).find(std::string("settings: ") + c.named + " "),
                std::string::npos)
          << error.what();
      EXPECT_NE(std::string(error.what()).find(c.problem), std::string::npos) << error.what();
    }
  }
}

TEST(Settings, SyntaxErrorsNameTheLine) {
  try {
    parse_settings("member = \n");
    FAIL() << "accepted";
  } catch (const SettingsError& error) {
    EXPECT_NE(std::string(error.what()).find("line 1"), std::string::npos) << error.what();
  }
}

TEST(Settings, FileErrorsNameTheFileAndTheReason) {
  try {
    load_settings("/nonexistent/settings.toml");
    FAIL() << "accepted";
  } catch (const SettingsError& error) {
    EXPECT_STREQ(error.what(),
                 "settings: cannot read /nonexistent/settings.toml: No such file or directory");
  }
  const std::string path =
      ::testing::TempDir() + "larkroad_invalid_operators_" + std::to_string(getpid()) + ".toml";
  std::ofstream(path) << "[gangs]\nhold = 5\n";
  try {
    load_operators(path);
    ADD_FAILURE() << "accepted";
  } catch (const SettingsError& error) {
    EXPECT_EQ(
        std::string(error.what()),
        "settings: gangs.hold is not a known field, must be one of: hold_s (in " + path + ")");
  }
  std::remove(path.c_str());
}

TEST(OperatorSettings, DefaultsAndErrors) {
  EXPECT_DOUBLE_EQ(parse_operators("").reservation_limit_s, 20);
  EXPECT_DOUBLE_EQ(parse_operators("").start_bound_s, 240);
  const auto operators = parse_operators("[gangs]\nhold_s = 5\n[starts]\nbound_s = 60.5\n");
  EXPECT_DOUBLE_EQ(operators.reservation_limit_s, 5);
  EXPECT_DOUBLE_EQ(operators.start_bound_s, 60.5);
  const struct {
    const char* text;
    const char* named;
  } cases[] = {
      {"[gangs]\nhold_s = 0\n", "gangs.hold_s"},
      {"[gangs]\nhold = 5\n", "gangs.hold "},
      {"[starts]\nbound_s = \"long\"\n", "starts.bound_s"},
      {"[starts]\nbound_s = -1\n", "starts.bound_s"},
      {"gangs = 3\n", "gangs "},
      {"[limits]\n", "limits "},
      {"[gangs\n", "not TOML"},
  };
  for (const auto& c : cases) {
    try {
      parse_operators(c.text);
      ADD_FAILURE() << "accepted: " << c.text;
    } catch (const SettingsError& error) {
      EXPECT_NE(std::string(error.what()).find(c.named), std::string::npos) << error.what();
    }
  }
}

}  // namespace
}  // namespace larkroad
