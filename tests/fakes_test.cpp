// Tests of the fakes shared by several tests.
#include <gtest/gtest.h>

#include <string>

#include "fakes/manual_clock.hpp"
#include "fakes/scripted_client.hpp"

namespace larkroad::testing {
namespace {

using transport::Outcome;
using transport::Response;

TEST(ManualClock, RunsTimersInOrderOfDueTimeThenCreation) {
  ManualClock clock(100);
  std::string order;
  clock.after(2, [&] { order += "c"; });
  clock.after(1, [&] { order += "a"; });
  clock.after(1, [&] {
    order += "b";
    clock.after(0.5, [&] { order += "+"; });
  });
  const transport::TimerId cancelled = clock.after(1.5, [&] { order += "x"; });
  clock.cancel(cancelled);
  clock.run_for(2);
  EXPECT_EQ(order, "ab+c");
  EXPECT_EQ(clock.now(), 102);
}

TEST(ScriptedClient, RepliesFromScriptThenDefaultThenManually) {
  ScriptedClient client;
  std::vector<int> statuses;
  const auto call = [&] {
    client.call("host:1", {"GET", "/", ""}, 1,
                [&](Outcome, const Response& response) { statuses.push_back(response.status); });
  };
  client.script.push_back({Outcome::answered, {409, "{}"}});
  client.default_reply = ScriptedClient::Reply{Outcome::answered, {200, "{}"}};
  call();
  call();
  EXPECT_EQ(statuses, (std::vector<int>{409, 200}));
  client.default_reply.reset();
  call();
  ASSERT_EQ(client.pending.size(), 1u);
  client.pending.front().on_reply(Outcome::answered, {503, "{}"});
  EXPECT_EQ(statuses, (std::vector<int>{409, 200, 503}));
  EXPECT_EQ(client.sent.size(), 3u);
}

}  // namespace
}  // namespace larkroad::testing
