/// A fake HTTP client with replies scripted by the test.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "transport/http.hpp"

namespace larkroad::testing {

/// Records each call and answers it immediately with the next scripted reply or, if the script is
/// empty, with the default reply. Without either, the call is kept in `pending` for the test to
/// answer.
class ScriptedClient : public transport::Client {
 public:
  struct Reply {
    transport::Outcome outcome = transport::Outcome::answered;
    transport::Response response;
  };
  struct Call {
    std::string endpoint;
    transport::Request request;
    transport::Seconds timeout = 0;
    transport::OnReply on_reply;
  };

  void call(const std::string& endpoint, transport::Request request, transport::Seconds timeout,
            transport::OnReply on_reply) override {
    sent.push_back(request);
    if (script.empty() && !default_reply) {
      pending.push_back({endpoint, std::move(request), timeout, std::move(on_reply)});
      return;
    }
    Reply reply = default_reply.value_or(Reply{});
    if (!script.empty()) {
      reply = std::move(script.front());
      script.pop_front();
    }
    on_reply(reply.outcome, std::move(reply.response));
  }

  std::vector<transport::Request> sent;
  std::deque<Reply> script;
  std::optional<Reply> default_reply;
  std::deque<Call> pending;
};

}  // namespace larkroad::testing
