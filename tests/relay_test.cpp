/// Relay of heartbeats to the leader, and the encoding of its batches.
#include "coordination/relay/relay.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "fakes/manual_clock.hpp"
#include "support.hpp"

namespace larkroad::coordination {
namespace {

using protocol::Json;
using transport::Outcome;
using transport::Request;
using transport::Response;

TEST(RelayBatches, RoundTripThroughTheEncoding) {
  const protocol::RelayBatch batch{
      "node-1", 7, {{R"({"perch":"i-1"})", "", 0, 0, 0}, {"", "i-2", 1, 9, 8}}};
  const auto back = protocol::parse_batch(protocol::encode_batch(batch));
  EXPECT_EQ(back.member, "node-1");
  EXPECT_EQ(back.fencing_token, 7u);
  ASSERT_EQ(back.heartbeats.size(), 2u);
  EXPECT_EQ(back.heartbeats[0].payload, R"({"perch":"i-1"})");
  EXPECT_EQ(back.heartbeats[1].machine, "i-2");
  EXPECT_EQ(back.heartbeats[1].sequence, 9u);
  EXPECT_EQ(back.heartbeats[1].base_sequence, 8u);
}

TEST(RelayBatches, MalformedBatchesAreRejected) {
  for (const char* body :
       {"", "[]", "{}", R"({"member":"node-1","token":1})",
        R"({"member":"node-1","token":-1,"reports":[]})",
        R"({"member":"node-1","token":1,"reports":[3]})",
        R"({"member":"node-1","token":1,"reports":[{"machine":"i-1","session":1,"tick":2}]})",
        R"({"member":"node-1","token":1,"reports":[{"words":5}]})"}) {
    EXPECT_THROW(protocol::parse_batch(body), protocol::Malformed) << body;
  }
}

class FakeClient : public transport::Client {
 public:
  struct Call {
    std::string endpoint;
    protocol::RelayBatch batch;
    Seconds timeout;
    transport::OnReply on_reply;
  };
  void call(const std::string& endpoint, Request request, Seconds timeout,
            transport::OnReply reply) override {
    calls.push_back({endpoint, protocol::parse_batch(request.body), timeout, std::move(reply)});
  }
  std::deque<Call> calls;
};

class RelayTest : public ::testing::Test {
 protected:
  RelayTest()
      : settings(testing::settings()),
        store(clock, client, settings),
        store_relay(clock, store, settings),
        relay(clock, client, store_relay, settings) {
    relay.set_leader("node-1", 5);
    relay.record_peer_reply("node-1", true);
  }
  void send_heartbeat(std::uint64_t sequence, const std::string& tasks = "[]") {
    const std::string payload =
        R"({"perch":"i-1","address":"10.1.0.1:9000","breed":"small","yard":"east","loaners":false,)"
        R"("flight":1,"tick":)" +
        std::to_string(sequence) + R"(,"baton":5,"recallS":null,"legs":)" + tasks + "}";
    relay.forward(payload, protocol::parse_heartbeat(payload),
                  [this](Response response) { responses.push_back(std::move(response)); });
    clock.run_for(settings.heartbeat_interval_s / 50);
  }
  void answer(int status, const std::string& body = R"({"baton":5,"calls":[]})") {
    auto call = std::move(client.calls.front());
    client.calls.pop_front();
    std::vector<protocol::RelayedAnswer> answers(call.batch.heartbeats.size(), {status, body});
    call.on_reply(Outcome::answered, {200, protocol::encode_batch_answers(answers), 0});
  }
  Settings settings;
  testing::ManualClock clock{100, 0};
  FakeClient client;
  storage::KeyValueClient store;
  StoreRelayClient store_relay;
  Relay relay;
  std::vector<Response> responses;
};

TEST_F(RelayTest, ReturnsTheLeadersAnswerAndSendsUnchangedHeartbeatsAsDeltas) {
  send_heartbeat(1);
  ASSERT_EQ(client.calls.size(), 1u);
  EXPECT_EQ(client.calls[0].endpoint, "127.0.0.2:18081");
  EXPECT_FALSE(client.calls[0].batch.heartbeats[0].payload.empty());
  EXPECT_TRUE(responses.empty());  // the relay answers nothing by itself
  answer(200, "the leader's answer");
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses[0].status, 200);
  EXPECT_EQ(responses[0].body, "the leader's answer");

  send_heartbeat(2);
  EXPECT_TRUE(client.calls[0].batch.heartbeats[0].payload.empty());
  EXPECT_EQ(client.calls[0].batch.heartbeats[0].sequence, 2u);
  EXPECT_EQ(client.calls[0].batch.heartbeats[0].base_sequence, 1u);
  answer(200);
  // A changed heartbeat is sent in full again.
  send_heartbeat(3, R"([{"leg":"job-1/0","try":1,"stage":"running"}])");
  EXPECT_FALSE(client.calls[0].batch.heartbeats[0].payload.empty());
}

TEST_F(RelayTest, SendsThePayloadToALeaderThatLacksTheBaseHeartbeat) {
  send_heartbeat(1);
  answer(200);
  send_heartbeat(2);
  ASSERT_TRUE(client.calls[0].batch.heartbeats[0].payload.empty());
  answer(protocol::kNeedsPayload, "");
  EXPECT_EQ(responses.size(), 1u);
  clock.run_for(settings.heartbeat_interval_s / 50);
  ASSERT_EQ(client.calls.size(), 1u);
  EXPECT_FALSE(client.calls[0].batch.heartbeats[0].payload.empty());
  answer(200);
  EXPECT_EQ(responses.back().status, 200);
}

TEST_F(RelayTest, Responds503InTimeWhenTheLeaderGivesNoValidAnswer) {
  const struct {
    const char* what;
    std::function<void(FakeClient::Call&)> on_reply;
  } cases[] = {
      {"no answer", [](auto& call) { call.on_reply(Outcome::unknown, {}); }},
      {"not sent", [](auto& call) { call.on_reply(Outcome::not_sent, {}); }},
      {"no longer leads",
       [](auto& call) {
         call.on_reply(Outcome::answered, {421, "{}", 0});
       }},
      {"rejects the batch",
       [](auto& call) {
         call.on_reply(Outcome::answered, {400, "{}", 0});
       }},
      {"malformed answer",
       [](auto& call) {
         call.on_reply(Outcome::answered, {200, "?", 0});
       }},
      {"too few answers",
       [](auto& call) {
         call.on_reply(Outcome::answered, {200, R"({"answers":[]})", 0});
       }},
  };
  for (const auto& c : cases) {
    responses.clear();
    send_heartbeat(1);
    ASSERT_EQ(client.calls.size(), 1u) << c.what;
    EXPECT_LE(client.calls[0].timeout, 2) << c.what;  // workers time out after 4 s
    auto call = std::move(client.calls.front());
    client.calls.pop_front();
    c.on_reply(call);
    ASSERT_EQ(responses.size(), 1u) << c.what;
    EXPECT_EQ(responses[0].status, 503) << c.what;
    EXPECT_FALSE(relay.leader_reachable()) << c.what;
    relay.record_peer_reply("node-1", true);
  }
}

TEST_F(RelayTest, RetriesOnceWithTheLeadersNewFencingToken) {
  send_heartbeat(1);
  EXPECT_EQ(client.calls[0].batch.fencing_token, 5u);
  auto call = std::move(client.calls.front());
  client.calls.pop_front();
  call.on_reply(Outcome::answered, {409, protocol::encode_fencing_token(9), 0});
  ASSERT_EQ(client.calls.size(), 1u);
  EXPECT_EQ(client.calls[0].batch.fencing_token, 9u);
  // Each batch is retried only once.
  call = std::move(client.calls.front());
  client.calls.pop_front();
  call.on_reply(Outcome::answered, {409, protocol::encode_fencing_token(11), 0});
  EXPECT_TRUE(client.calls.empty());
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses[0].status, 503);
}

TEST_F(RelayTest, QueueIsBoundedAndRespondsInTime) {
  // While two batches are unanswered, further heartbeats are queued, up to the bound.
  send_heartbeat(1);
  send_heartbeat(2);
  ASSERT_EQ(client.calls.size(), 2u);
  for (int i = 0; i < settings.sockets + 10; ++i) {
    relay.forward("{}", {},
                  [this](Response response) { responses.push_back(std::move(response)); });
  }
  EXPECT_EQ(responses.size(), 10u);
  clock.run_for(2);
  for (int i = 0; i < 2; ++i) {
    auto call = std::move(client.calls.front());
    client.calls.pop_front();
    call.on_reply(Outcome::unknown, {});
  }
  clock.run_for(settings.heartbeat_interval_s / 50);
  EXPECT_EQ(responses.size(), 12u + static_cast<size_t>(settings.sockets));
  for (const auto& response : responses) EXPECT_EQ(response.status, 503);
}

}  // namespace
}  // namespace larkroad::coordination
