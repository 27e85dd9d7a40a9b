/// A transport client that simulates a key-value store with scripted replies, and its test fixture.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "fakes/manual_clock.hpp"
#include "storage/key_value_client.hpp"
#include "support.hpp"

namespace larkroad::testing {

using transport::Outcome;
using transport::Request;
using transport::Response;
using transport::Seconds;
using ScriptedReply = std::pair<Outcome, Response>;

/// Answers each call immediately with the next reply of the script, or with success when the script
/// is exhausted.
class ScriptedStoreClient : public transport::Client {
 public:
  void call(const std::string&, Request request, Seconds, transport::OnReply reply) override {
    sent.push_back(request);
    if (script.empty()) {
      reply(Outcome::answered, {200, R"({"ledger":1})", 0});
      return;
    }
    auto [outcome, response] = script.front();
    script.pop_front();
    reply(outcome, response);
  }
  std::vector<Request> sent;
  std::deque<ScriptedReply> script;
};

inline const ScriptedReply kLostReply{Outcome::unknown, {}};

/// Fixture with a key-value store client connected to a scripted store.
class ScriptedStoreTest : public ::testing::Test {
 protected:
  ScriptedStoreTest() : settings(testing::settings()), client(clock, net, settings) {}

  Settings settings;
  ManualClock clock;
  ScriptedStoreClient net;
  storage::KeyValueClient client;
};

}  // namespace larkroad::testing
