// Tests of messages between controllers against the exact text exchanged by versions in production.
#include "protocol/peer_messages.hpp"

#include <gtest/gtest.h>

#include <fstream>

#include "protocol/json.hpp"

namespace larkroad::protocol {
namespace {

struct StatusCase {
  const char* name;
  const char* text;
  PeerStatus status;
};

class PeerStatusText : public ::testing::TestWithParam<StatusCase> {};

TEST_P(PeerStatusText, EncodesAndParses) {
  EXPECT_EQ(encode_peer_status(GetParam().status), GetParam().text);
  EXPECT_EQ(parse_peer_status(GetParam().text), GetParam().status);
}

const StatusCase kStatusCases[] = {
    {"first_version",
     R"({"member":"node-1","served":false,"token":0})",
     {"node-1", false, 0, {}, false, {}, {}, {}}},
    {"follower",
     R"({"member":"node-1","relays_to":"node-0","served":true,"token":0,"version":2,"workers":true})",
     {"node-1", true, 0, 2, true, "node-0", {}, {}}},
    {"leader",
     R"({"jobs":{"job-1":[3,13],"job-2":[0,1]},"member":"node-0","served":true,"spread":true,"token":41,"version":2})",
     {"node-0", true, 41, 2, false, {}, true, {{{"job-1", 3, 13}, {"job-2", 0, 1}}}}},
    {"leader_without_jobs",
     R"({"jobs":{},"member":"node-0","served":true,"spread":false,"token":41,"version":2})",
     {"node-0", true, 41, 2, false, {}, false, std::vector<JobProgress>{}}},
};

INSTANTIATE_TEST_SUITE_P(Messages, PeerStatusText, ::testing::ValuesIn(kStatusCases),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(PeerStatus, FirstVersionMessagesAreReencodedIdentically) {
  std::ifstream file(LARKROAD_FIXTURES "/first_version.json");
  const Json fixture = Json::parse(file);
  int messages = 0;
  for (const Json& message : fixture.at("messages")) {
    if (message.at("target") != kPeerStatusPath) continue;
    const std::string text = message.at("body").dump();
    EXPECT_EQ(encode_peer_status(parse_peer_status(text)), text);
    ++messages;
  }
  EXPECT_GT(messages, 0);
}

TEST(PeerStatus, IgnoresUnknownAndNullFields) {
  const PeerStatus status = parse_peer_status(
      R"({"member":"node-1","served":true,"token":0,"version":null,"later":[1],"relays_to":3})");
  EXPECT_EQ(status, (PeerStatus{"node-1", true, 0, {}, false, {}, {}, {}}));
}

TEST(PeerStatus, RejectsMalformedMessages) {
  for (const char* body : {"", "[]", "{}", R"({"member":"node-1","served":true})",
                           R"({"member":"node-1","served":1,"token":1})",
                           R"({"member":"node-1","served":true,"token":-1})",
                           R"({"member":"node-1","served":true,"token":1,"version":"2"})",
                           R"({"member":"node-1","served":true,"token":1,"spread":3})",
                           R"({"member":"node-1","served":true,"token":1,"jobs":{"job-1":[1]}})"}) {
    EXPECT_THROW(parse_peer_status(body), Malformed) << body;
  }
}

TEST(ForwardedRequest, EncodesAndParses) {
  const ForwardedRequest request{"POST", "/v2/runs", R"({"ref":"job-1"})"};
  const std::string text = R"({"body":"{\"ref\":\"job-1\"}","method":"POST","target":"/v2/runs"})";
  EXPECT_EQ(encode_forwarded_request(request), text);
  EXPECT_EQ(parse_forwarded_request(text), request);
  EXPECT_THROW(parse_forwarded_request(R"({"method":"POST","target":"/v2/runs"})"), Malformed);
}

TEST(ForwardedResponse, EncodesAndParses) {
  const ForwardedResponse response{503, "{}", 2};
  const std::string text = R"({"body":"{}","retry_after":2,"status":503})";
  EXPECT_EQ(encode_forwarded_response(response), text);
  EXPECT_EQ(parse_forwarded_response(text), response);
  EXPECT_THROW(parse_forwarded_response(R"({"body":"{}","status":503})"), Malformed);
}

TEST(CancellationNotice, EncodesAndParses) {
  const CancellationNotice notice{"node-1", "job-1"};
  const std::string text = R"({"job":"job-1","member":"node-1"})";
  EXPECT_EQ(encode_cancellation_notice(notice), text);
  EXPECT_EQ(parse_cancellation_notice(text), notice);
  EXPECT_THROW(parse_cancellation_notice(R"({"job":"job-1"})"), Malformed);
}

}  // namespace
}  // namespace larkroad::protocol
