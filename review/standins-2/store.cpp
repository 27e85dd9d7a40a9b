#include "store.hpp"

#include <algorithm>

namespace standin {
namespace {

constexpr Seconds kTick = 0.02;
constexpr std::size_t kMaxBody = 64 * 1024;
constexpr std::size_t kMaxPageItems = 1000;
constexpr std::size_t kMaxPageBytes = 512 * 1024;
constexpr std::size_t kRetainedChanges = 10'000;

}  // namespace

Store::Store(Bench& bench, const Limits& limits)
    : bench_(bench),
      limits_(limits),
      request_tokens_(limits.rps),
      write_tokens_(limits.write_rps) {
  bench_.every(kTick, [this] { tick(); });
}

std::string Store::open_port_for(const std::string& member) {
  const auto port = free_port();
  servers_.push_back(bench_.serve(port, [this, member](Request request, Respond respond) {
    bench_.after(limits_.latency, [this, member, request, respond] {
      try {
        handle(member, request, respond);
      } catch (const std::exception& error) {
        respond({400, Json{{"error", "malformed"}}.dump()});
      }
    });
  }));
  return loopback(port);
}

void Store::refuse(const std::string& member, bool refused) {
  if (refused) {
    refused_.insert(member);
  } else {
    refused_.erase(member);
    answer_watches();
  }
}

void Store::set_outage(bool outage) {
  outage_ = outage;
  if (outage) return;
  for (auto& [id, lease] : leases_) lease.ends_at = bench_.now() + lease.life;
  answer_watches();
}

// Both limits allow bursts of one second's worth.
bool Store::within_rate(const Request& request) {
  const Seconds now = bench_.now();
  const Seconds passed = now - refilled_at_;
  refilled_at_ = now;
  request_tokens_ = std::min(request_tokens_ + passed * limits_.rps, limits_.rps);
  write_tokens_ = std::min(write_tokens_ + passed * limits_.write_rps, limits_.write_rps);
  double writes = 0;
  if (request.target == "/commit") {
    writes = static_cast<double>(Json::parse(request.body).value("apply", Json::array()).size());
  }
  if (request_tokens_ < 1 || write_tokens_ < writes) return false;
  request_tokens_ -= 1;
  write_tokens_ -= writes;
  return true;
}

void Store::add_change(Change change) {
  changes_.push_back(std::move(change));
  if (changes_.size() <= kRetainedChanges) return;
  dropped_up_to_ = changes_.front().revision;
  changes_.pop_front();
}

void Store::make_changes(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    ++revision_;
    entries_["other"] = {Json(i), revision_, 0};
    add_change({revision_, "other", false, Json(i)});
  }
  bench_.record("store: ledger " + std::to_string(revision_));
  answer_watches();
}

Json Store::data(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? Json() : it->second.data;
}

void Store::handle(const std::string& member, const Request& request, Respond respond) {
  if (outage_ || refused_.contains(member)) {
    respond({503, R"({"error":"trouble"})"});
    return;
  }
  ++requests_of[member];
  if (!within_rate(request)) {
    ++too_many;
    respond({429, R"({"error":"too many"})"});
    return;
  }
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/watch") {
    watch(member, request.target, std::move(respond));
  } else if (path == "/commit") {
    const Json transaction = Json::parse(request.body);
    const Fate fate = fate_of ? fate_of(member, transaction) : Fate{};
    if (request.body.size() > kMaxBody) {
      respond({400, R"({"error":"too large"})"});
    } else if (fate.applied_after > 0) {
      bench_.after(fate.applied_after, [this, transaction] { commit(transaction); });
    } else {
      const Response response = commit(transaction);
      if (fate.answered) respond(response);
    }
  } else if (path == "/store") {
    respond(list(request.target));
  } else if (path.starts_with("/store/")) {
    const auto it = entries_.find(path.substr(7));
    if (it == entries_.end()) {
      respond({404, Json{{"ledger", revision_}}.dump()});
    } else {
      Json found{{"k", it->first}, {"data", it->second.data}, {"mark", it->second.revision}};
      if (it->second.lease != 0) found["hold"] = it->second.lease;
      respond({200, found.dump()});
    }
  } else if (path == "/grants") {
    respond(grant(request.body));
  } else if (path.starts_with("/grants/")) {
    respond(lease_call(request));
  } else {
    respond({400, "{}"});
  }
}

Response Store::list(const std::string& target) const {
  const std::string prefix = parameter(target, "starts");
  const std::string since = parameter(target, "since");
  const std::string limit_text = parameter(target, "limit");
  const std::size_t limit =
      limit_text.empty() ? kMaxPageItems : std::min<std::size_t>(std::stoul(limit_text), 1000);
  Json pairs = Json::array();
  bool more = false;
  std::size_t bytes = 0;
  auto it = since.empty() ? entries_.lower_bound(prefix) : entries_.upper_bound(since);
  for (; it != entries_.end() && it->first.starts_with(prefix); ++it) {
    Json pair{{"k", it->first}, {"data", it->second.data}, {"mark", it->second.revision}};
    bytes += pair.dump().size() + 1;
    if (pairs.size() >= limit || bytes > kMaxPageBytes) {
      more = true;
      break;
    }
    pairs.push_back(std::move(pair));
  }
  return {200, Json{{"pairs", pairs}, {"more", more}, {"ledger", revision_}}.dump()};
}

Response Store::grant(const std::string& body) {
  const double life = Json::parse(body).at("lifeMs").get<double>() / 1000;
  leases_[next_lease_] = {life, bench_.now() + life};
  return {200, Json{{"hold", next_lease_++}}.dump()};
}

Response Store::lease_call(const Request& request) {
  const auto id = std::stoull(request.target.substr(8));
  const auto it = leases_.find(id);
  if (it == leases_.end()) return {404, "{}"};
  if (request.method == "DELETE") {
    leases_.erase(it);
    drop_keys_of(id);
    answer_watches();
  } else {
    it->second.ends_at = bench_.now() + it->second.life;
  }
  return {200, Json{{"hold", id}}.dump()};
}

Response Store::commit(const Json& transaction) {
  const Json guards = transaction.value("guards", Json::array());
  const Json apply = transaction.value("apply", Json::array());
  if (static_cast<int>(apply.size()) > limits_.txn_ops ||
      static_cast<int>(guards.size()) > 4 * limits_.txn_ops) {
    return {400, R"({"error":"too large"})"};
  }
  for (const Json& change : apply) {
    if (!change.contains("write")) continue;
    if (static_cast<double>(change.at("data").dump().size()) > (limits_.value_kb * 1024)) {
      return {400, R"({"error":"too large"})"};
    }
    if (change.contains("hold") && !leases_.contains(change.at("hold").get<std::uint64_t>())) {
      return {400, R"({"error":"no such lease"})"};
    }
  }
  Json failed = Json::array();
  for (const Json& guard : guards) {
    const auto it = entries_.find(guard.at("k").get<std::string>());
    const std::uint64_t revision = it == entries_.end() ? 0 : it->second.revision;
    if (revision != guard.at("mark").get<std::uint64_t>()) failed.push_back(guard.at("k"));
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger", revision_}}.dump()};
  if (!apply.empty()) ++revision_;
  for (const Json& change : apply) {
    if (change.contains("drop")) {
      const std::string key = change.at("drop");
      if (entries_.erase(key) > 0) add_change({revision_, key, true, {}});
    } else {
      const std::string key = change.at("write");
      entries_[key] = {change.at("data"), revision_, change.value("hold", std::uint64_t{0})};
      add_change({revision_, key, false, change.at("data")});
    }
  }
  const Response response{200, Json{{"ledger", revision_}}.dump()};
  answer_watches();
  return response;
}

void Store::watch(const std::string& member, const std::string& target, Respond respond) {
  auto watch = std::make_shared<Watch>();
  watch->member = member;
  watch->prefix = parameter(target, "starts");
  watch->since = std::stoull(parameter(target, "since"));
  if (watch->since < dropped_up_to_) {
    respond({410, Json{{"ledger", revision_}}.dump()});
    return;
  }
  const std::string block = parameter(target, "blockMs");
  watch->until = bench_.now() + (block.empty() ? 0 : std::stod(block) / 1000);
  watch->respond = std::move(respond);
  if (!answer(*watch, watch->until <= bench_.now())) watches_.push_back(std::move(watch));
}

bool Store::answer(Watch& watch, bool also_empty) {
  if (watch.answered) return true;
  if (outage_ || refused_.contains(watch.member)) return false;
  Json events = Json::array();
  for (auto it = changes_.rbegin(); it != changes_.rend() && it->revision > watch.since; ++it) {
    if (!it->key.starts_with(watch.prefix)) continue;
    Json event{{it->dropped ? "drop" : "write", it->key}, {"mark", it->revision}};
    if (!it->dropped) event["data"] = it->data;
    events.push_back(std::move(event));
  }
  if (events.empty() && !also_empty) return false;
  std::reverse(events.begin(), events.end());
  watch.answered = true;
  watch.respond({200, Json{{"ledger", revision_}, {"events", events}}.dump()});
  return true;
}

void Store::answer_watches() {
  const auto watches = watches_;
  for (const auto& watch : watches) answer(*watch, false);
  std::erase_if(watches_, [](const auto& watch) { return watch->answered; });
}

void Store::tick() {
  if (outage_) return;
  const Seconds now = bench_.now();
  std::vector<std::uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends_at <= now) ended.push_back(id);
  }
  for (const auto id : ended) {
    leases_.erase(id);
    drop_keys_of(id);
  }
  if (!ended.empty()) answer_watches();
  const auto watches = watches_;
  for (const auto& watch : watches) {
    if (watch->until <= now) answer(*watch, true);
  }
  std::erase_if(watches_, [](const auto& watch) { return watch->answered; });
}

void Store::drop_keys_of(std::uint64_t lease) {
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == lease) keys.push_back(key);
  }
  if (keys.empty()) return;
  ++revision_;
  for (const auto& key : keys) {
    entries_.erase(key);
    add_change({revision_, key, true, {}});
  }
}

}  // namespace standin
