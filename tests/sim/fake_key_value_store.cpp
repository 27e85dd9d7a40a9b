#include "sim/fake_key_value_store.hpp"

#include <algorithm>

#include "sim/world.hpp"

namespace larkroad::sim {
namespace {

constexpr size_t kMaxBodyBytes = 65536;
constexpr int kPreconditionsPerChange = 4;
// Small enough that every run exercises paging.
constexpr size_t kPageSize = 20;
constexpr size_t kMaxKeyBytes = 200;
constexpr double kMaxBlockMs = 60'000;
constexpr double kMinLeaseMs = 100;
constexpr double kMaxLeaseMs = 600'000;
constexpr Seconds kBucketCapacity = 1;

std::string parameter(const std::string& query, const std::string& name) {
  const auto at = query.find(name + "=");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 1;
  return query.substr(begin, query.find('&', begin) - begin);
}

std::string suffix(const std::string& path, std::string_view prefix) {
  return path.substr(prefix.size());
}

bool is_valid_key(const std::string& key) {
  return !key.empty() && key.size() <= kMaxKeyBytes && key.find(' ') == std::string::npos;
}

bool has_valid_keys(const Json& transaction) {
  const auto& guards = transaction.at("guards");
  const auto& operations = transaction.at("apply");
  return std::all_of(guards.begin(), guards.end(),
                     [](const Json& guard) { return is_valid_key(guard.at("k")); }) &&
         std::all_of(operations.begin(), operations.end(), [](const Json& operation) {
           return is_valid_key(operation.contains("drop") ? operation.at("drop")
                                                          : operation.at("write"));
         });
}

}  // namespace

void FakeKeyValueStore::handle(const Request& request, const std::string& from, Respond respond) {
  expire_leases();
  ++requests_of[from];
  const auto question_mark = request.target.find('?');
  const std::string path = request.target.substr(0, question_mark);
  const std::string query =
      question_mark == std::string::npos ? "" : request.target.substr(question_mark + 1);
  if (outage_) {
    respond({503, "{}"});
  } else if (!within_rate_limits(path, request)) {
    ++rate_refusals;
    respond({429, "{}"});
  } else if (path == "/watch") {
    watch(query, from, std::move(respond));
  } else if (path == "/commit") {
    respond(commit(request.body));
    notify_watchers();
  } else if (path == "/store") {
    respond(list(query));
  } else if (path.starts_with("/store/")) {
    respond(get(suffix(path, "/store/")));
  } else if (path == "/grants") {
    respond(grant_lease(request));
  } else if (path.starts_with("/grants/")) {
    respond(renew_or_revoke_lease(request));
  } else {
    respond({400, "{}"});
  }
}

// ---------------------------------------------------------------- limits on rates

bool FakeKeyValueStore::TokenBucket::take(double count, double per_second, Seconds now) {
  const double capacity = per_second * kBucketCapacity;
  tokens = std::min(capacity, tokens + (now - refilled_at) * per_second);
  refilled_at = now;
  if (tokens < count) return false;
  tokens -= count;
  return true;
}

bool FakeKeyValueStore::within_rate_limits(const std::string& path, const Request& request) {
  const Seconds now = world_.events.now();
  if (!request_bucket_.take(1, limits.rps, now)) return false;
  if (path != "/commit") return true;
  const auto changes = static_cast<double>(Json::parse(request.body).at("apply").size());
  return write_bucket_.take(changes, limits.write_rps, now);
}

// ---------------------------------------------------------------- reads

Response FakeKeyValueStore::get(const std::string& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return {404, Json{{"ledger", revision_}}.dump()};
  const Json found{{"k", it->first}, {"data", it->second.data}, {"mark", it->second.revision}};
  return {200, found.dump()};
}

bool FakeKeyValueStore::has_keys(const std::string& prefix) const {
  const auto it = entries_.lower_bound(prefix);
  return it != entries_.end() && it->first.starts_with(prefix);
}

Response FakeKeyValueStore::list(const std::string& query) const {
  const std::string prefix = parameter(query, "starts");
  const std::string since = parameter(query, "since");
  const std::string requested = parameter(query, "limit");
  const size_t limit =
      requested.empty() ? kPageSize : std::min<size_t>(std::stoul(requested), kPageSize);
  Json pairs = Json::array();
  bool more = false;
  // A key that equals the prefix starts with it.
  auto it = since.empty() ? entries_.lower_bound(prefix) : entries_.upper_bound(since);
  for (; it != entries_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    if (pairs.size() >= limit) {
      more = true;
      break;
    }
    pairs.push_back({{"k", it->first}, {"data", it->second.data}, {"mark", it->second.revision}});
  }
  return {200, Json{{"pairs", pairs}, {"more", more}, {"ledger", revision_}}.dump()};
}

// ---------------------------------------------------------------- leases

Response FakeKeyValueStore::grant_lease(const Request& request) {
  const double life_ms = Json::parse(request.body).at("lifeMs").get<double>();
  if (life_ms < kMinLeaseMs || life_ms > kMaxLeaseMs) return {400, "{}"};
  const double time_to_live = life_ms / 1000;
  leases_[next_lease_] = {time_to_live, world_.events.now() + time_to_live};
  return {200, Json{{"hold", next_lease_++}}.dump()};
}

Response FakeKeyValueStore::renew_or_revoke_lease(const Request& request) {
  const std::uint64_t id = std::stoull(suffix(request.target, "/grants/"));
  const auto it = leases_.find(id);
  if (it == leases_.end()) return {404, "{}"};
  if (request.method == "DELETE") {
    it->second.expires_at = -1;
    expire_leases();
  } else {
    it->second.expires_at = world_.events.now() + it->second.time_to_live;
  }
  return {200, Json{{"hold", id}}.dump()};
}

void FakeKeyValueStore::set_outage(bool outage) {
  if (outage) expire_leases();
  outage_ = outage;
  if (outage) return;
  for (auto& [id, lease] : leases_) lease.expires_at = world_.events.now() + lease.time_to_live;
  notify_watchers();
}

void FakeKeyValueStore::expire_leases() {
  if (outage_) return;
  bool any_deleted = false;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expires_at > world_.events.now()) {
      ++it;
      continue;
    }
    const std::uint64_t id = it->first;
    it = leases_.erase(it);
    any_deleted = delete_keys_of_lease(id) || any_deleted;
  }
  if (any_deleted) notify_watchers();
}

bool FakeKeyValueStore::delete_keys_of_lease(std::uint64_t lease) {
  bool any_deleted = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->second.lease != lease) {
      ++it;
      continue;
    }
    record_change({++revision_, it->first, true, {}});
    it = entries_.erase(it);
    any_deleted = true;
  }
  return any_deleted;
}

// ---------------------------------------------------------------- transactions

Response FakeKeyValueStore::commit(const std::string& body) {
  const Json transaction = Json::parse(body);
  const Json& operations = transaction.at("apply");
  Json failed = Json::array();
  for (const auto& precondition : transaction.at("guards")) {
    const auto it = entries_.find(precondition.at("k"));
    const std::uint64_t revision = it == entries_.end() ? 0 : it->second.revision;
    if (revision != precondition.at("mark").get<std::uint64_t>()) {
      failed.push_back(precondition.at("k"));
    }
  }
  if (!has_valid_keys(transaction)) return {400, R"({"error":"bad key"})"};
  if (exceeds_limits(transaction, body.size())) {
    ++size_refusals;
    return {400, R"({"error":"too large"})"};
  }
  for (const auto& item : operations) {
    if (!item.contains("write")) continue;
    if (item.at("data").dump().size() > limits.value_kb * 1024) {
      ++size_refusals;
      return {400, R"({"error":"value too large"})"};
    }
    if (item.contains("hold") && !leases_.contains(item.at("hold").get<std::uint64_t>())) {
      return {400, R"({"error":"no such lease"})"};
    }
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger", revision_}}.dump()};
  apply(operations);
  return {200, Json{{"ledger", revision_}}.dump()};
}

Response FakeKeyValueStore::carry_out_late(const Request& transaction) {
  expire_leases();
  Response response = commit(transaction.body);
  notify_watchers();
  return response;
}

bool FakeKeyValueStore::exceeds_limits(const Json& transaction, size_t body_size) const {
  const auto changes = static_cast<int>(transaction.at("apply").size());
  const auto preconditions = static_cast<int>(transaction.at("guards").size());
  return changes > limits.max_transaction_changes ||
         preconditions > kPreconditionsPerChange * limits.max_transaction_changes ||
         body_size > kMaxBodyBytes;
}

void FakeKeyValueStore::apply(const Json& operations) {
  if (!operations.empty()) ++revision_;
  for (const auto& item : operations) {
    if (item.contains("drop")) {
      const std::string key = item.at("drop");
      if (entries_.erase(key) > 0) record_change({revision_, key, true, {}});
      continue;
    }
    const std::string key = item.at("write");
    entries_[key] = {item.at("data"), revision_, item.value("hold", std::uint64_t{0})};
    record_change({revision_, key, false, item.at("data")});
  }
}

void FakeKeyValueStore::record_change(Change change) {
  changes_.push_back(std::move(change));
  while (changes_.size() > kRetainedChanges) {
    compacted_revision_ = changes_.front().revision;
    changes_.pop_front();
  }
}

void FakeKeyValueStore::make_unrelated_changes(size_t count) {
  for (size_t i = 0; i < count; ++i) {
    apply(Json::array({{{"write", "unrelated"}, {"data", i}}}));
    notify_watchers();
  }
}

// ---------------------------------------------------------------- watches

void FakeKeyValueStore::watch(const std::string& query, const std::string& from, Respond respond) {
  const double block_ms = std::stod(parameter(query, "blockMs"));
  if (block_ms > kMaxBlockMs) {
    respond({400, "{}"});
    return;
  }
  auto watcher = std::make_shared<Watcher>();
  watcher->prefix = parameter(query, "starts");
  watcher->since = std::stoull(parameter(query, "since"));
  watcher->respond = std::move(respond);
  watcher->from = from;
  if (answer(*watcher, WhenEmpty::keep_waiting)) return;
  watchers_.push_back(watcher);
  const Seconds wait = block_ms / 1000;
  world_.events.schedule_at(world_.events.now() + wait, [this, watcher] {
    expire_leases();
    if (!watcher->answered && !outage_) answer(*watcher, WhenEmpty::answer);
  });
}

bool FakeKeyValueStore::is_watch_held(const std::string& controller) const {
  // Open watches of a controller that the store rejects stay unanswered, as in an outage.
  if (world_.network.refused_by_store.contains(controller)) return true;
  const auto it = held_watches_.find(controller);
  return it != held_watches_.end() && it->second > world_.events.now();
}

bool FakeKeyValueStore::answer(Watcher& watcher, WhenEmpty when_empty) {
  if (is_watch_held(watcher.from)) return false;
  if (watcher.since < compacted_revision_) {
    watcher.answered = true;
    watcher.respond({410, "{}"});
    return true;
  }
  Json events = Json::array();
  const auto first = std::upper_bound(
      changes_.begin(), changes_.end(), watcher.since,
      [](std::uint64_t revision, const Change& change) { return revision < change.revision; });
  for (auto it = first; it != changes_.end(); ++it) {
    const Change& change = *it;
    if (!change.key.starts_with(watcher.prefix)) continue;
    if (change.deleted) {
      events.push_back({{"drop", change.key}, {"mark", change.revision}});
    } else {
      events.push_back({{"write", change.key}, {"data", change.data}, {"mark", change.revision}});
    }
  }
  if (events.empty() && when_empty == WhenEmpty::keep_waiting) {
    watcher.since = revision_;
    return false;
  }
  watcher.answered = true;
  watcher.respond({200, Json{{"ledger", revision_}, {"events", events}}.dump()});
  return true;
}

void FakeKeyValueStore::notify_watchers() {
  if (outage_) return;
  const auto watchers = watchers_;  // answering a watch may open a new one
  for (const auto& watcher : watchers) {
    if (!watcher->answered) answer(*watcher, WhenEmpty::keep_waiting);
  }
  std::erase_if(watchers_, [](const auto& watcher) { return watcher->answered; });
}

}  // namespace larkroad::sim
