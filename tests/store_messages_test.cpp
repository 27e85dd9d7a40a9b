/// Tests of the wire format of the key-value store's requests and replies.
#include "storage/store_messages.hpp"

#include <gtest/gtest.h>

namespace larkroad::storage {
namespace {

using transport::Outcome;

TEST(StoreMessages, EncodesRequests) {
  Transaction transaction;
  transaction.preconditions.push_back({"a/b", 4});
  transaction.writes.push_back({"a/b", {{"x", 1}}, 7});
  transaction.writes.push_back({"c", {{"y", 2}}, std::nullopt});
  transaction.deletes.emplace_back("d");
  const struct {
    transport::Request request;
    const char* method;
    const char* target;
    const char* body;
  } cases[] = {
      {encode_get("a/b"), "GET", "/store/a/b", ""},
      {encode_list("a/", ""), "GET", "/store?starts=a/&limit=1000", ""},
      {encode_list("a/", "a/7"), "GET", "/store?starts=a/&limit=1000&since=a/7", ""},
      {encode_watch("a/", 431, 2.5), "GET", "/watch?starts=a/&since=431&blockMs=2500", ""},
      {encode_grant(5), "POST", "/grants", R"({"lifeMs":5000})"},
      {encode_grant(0.01), "POST", "/grants", R"({"lifeMs":100})"},
      {encode_grant(1e6), "POST", "/grants", R"({"lifeMs":600000})"},
      {encode_extend(7), "POST", "/grants/7/extend", ""},
      {encode_release(7), "DELETE", "/grants/7", ""},
      {encode_commit(transaction), "POST", "/commit",
       R"({"apply":[{"data":{"x":1},"hold":7,"write":"a/b"},{"data":{"y":2},"write":"c"},)"
       R"({"drop":"d"}],"guards":[{"k":"a/b","mark":4}]})"},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.target);
    EXPECT_EQ(c.request.method, c.method);
    EXPECT_EQ(c.request.target, c.target);
    EXPECT_EQ(c.request.body, c.body);
  }
}

TEST(StoreMessages, MapsOutcomesAndHttpStatuses) {
  const struct {
    Outcome outcome;
    int http_status;
    Status status;
  } cases[] = {
      {Outcome::not_sent, 0, Status::unavailable}, {Outcome::unknown, 0, Status::unknown},
      {Outcome::answered, 200, Status::ok},        {Outcome::answered, 400, Status::invalid},
      {Outcome::answered, 404, Status::missing},   {Outcome::answered, 409, Status::conflict},
      {Outcome::answered, 410, Status::too_old},   {Outcome::answered, 429, Status::unavailable},
      {Outcome::answered, 500, Status::unknown},   {Outcome::answered, 503, Status::unavailable},
  };
  for (const auto& c : cases) {
    EXPECT_EQ(status_of(c.outcome, c.http_status), c.status) << c.http_status;
  }
}

TEST(StoreMessages, DecodesCommitReplies) {
  EXPECT_EQ(decode_commit(Status::ok, R"({"ledger":9})").revision, 9u);
  const CommitReply conflict = decode_commit(Status::conflict, R"({"failed":["a"],"ledger":9})");
  EXPECT_TRUE(conflict.failed_on("a"));
  EXPECT_FALSE(conflict.failed_on("b"));
  EXPECT_EQ(decode_commit(Status::invalid, R"({"error":"no such lease"})").status,
            Status::no_lease);
  EXPECT_EQ(decode_commit(Status::invalid, R"({"error":"too large"})").status, Status::invalid);
  EXPECT_EQ(decode_commit(Status::unavailable, "").status, Status::unavailable);
  EXPECT_THROW(decode_commit(Status::ok, "{}"), std::exception);
  EXPECT_THROW(decode_commit(Status::conflict, "not JSON"), std::exception);
}

TEST(StoreMessages, DecodesWatchReplies) {
  const WatchReply reply =
      decode_watch(R"({"ledger":433,"events":[{"write":"c/9","data":{"x":1},"mark":433},)"
                   R"({"drop":"c/d","mark":432}]})");
  EXPECT_EQ(reply.status, Status::ok);
  EXPECT_EQ(reply.revision, 433u);
  ASSERT_EQ(reply.events.size(), 2u);
  EXPECT_EQ(reply.events[0].key, "c/9");
  EXPECT_FALSE(reply.events[0].deleted);
  EXPECT_EQ(reply.events[1].key, "c/d");
  EXPECT_TRUE(reply.events[1].deleted);
}

}  // namespace
}  // namespace larkroad::storage
