#include "protocol/relay.hpp"

namespace larkroad::protocol {

namespace {

Json encode_short(const Report& report) {
  Json tasks = Json::array();
  for (const auto& task : report.tasks) {
    tasks.push_back(
        Json::array({task.id.job, task.id.task, task.attempt, static_cast<int>(task.state),
                     static_cast<int>(task.cause), task.saved ? 1 : 0}));
  }
  return Json::array({report.machine, report.address, report.type, report.zone, report.spot,
                      report.session, report.tick, report.token,
                      report.notice_s ? Json(*report.notice_s) : Json(nullptr), std::move(tasks)});
}

Report parse_short(const Json& data) {
  Report report;
  report.machine = data.at(0).get<std::string>();
  report.address = data.at(1).get<std::string>();
  report.type = data.at(2).get<std::string>();
  report.zone = data.at(3).get<std::string>();
  report.spot = data.at(4).get<bool>();
  report.session = data.at(5).get<std::uint64_t>();
  report.tick = data.at(6).get<std::uint64_t>();
  report.token = data.at(7).get<std::uint64_t>();
  if (!data.at(8).is_null()) report.notice_s = data.at(8).get<double>();
  for (const Json& task : data.at(9)) {
    const auto state = task.at(3).get<unsigned>();
    const auto cause = task.at(4).get<unsigned>();
    if (state > static_cast<unsigned>(TaskState::exited) ||
        cause > static_cast<unsigned>(ExitCause::unknown)) {
      throw Malformed("a task in a short report has an unknown state or cause");
    }
    report.tasks.push_back({{task.at(0).get<std::string>(), task.at(1).get<std::uint32_t>()},
                            task.at(2).get<std::uint64_t>(),
                            static_cast<TaskState>(state),
                            static_cast<ExitCause>(cause),
                            task.at(5).get<int>() != 0});
  }
  return report;
}

}  // namespace

Json batch_to_json(const RelayBatch& batch) {
  Json reports = Json::array();
  for (const auto& report : batch.reports) {
    if (report.report) {
      reports.push_back({{"short", encode_short(*report.report)}});
    } else if (!report.words.empty()) {
      reports.push_back({{"words", report.words}});
    } else {
      reports.push_back({{"machine", report.machine},
                         {"session", report.session},
                         {"tick", report.tick},
                         {"base", report.base}});
    }
  }
  return Json{{"member", batch.member}, {"token", batch.token}, {"reports", std::move(reports)}};
}

std::string encode_batch(const RelayBatch& batch) { return batch_to_json(batch).dump(); }

RelayBatch parse_batch(const std::string& body) { return batch_from_json(parse_object(body)); }

RelayBatch batch_from_json(const Json& json) {
  RelayBatch batch{text(json, "member"), integer(json, "token"), {}};
  for (const Json& item : array(json, "reports")) {
    if (!item.is_object()) throw Malformed("reports must be a list of objects");
    RelayedReport report;
    if (find(item, "short") != nullptr) {
      try {
        report.report = parse_short(array(item, "short"));
      } catch (const Json::exception& error) {
        throw Malformed(std::string("a short report: ") + error.what());
      }
    } else if (find(item, "words") != nullptr) {
      report.words = text(item, "words");
    } else {
      report.machine = text(item, "machine");
      report.session = integer(item, "session");
      report.tick = integer(item, "tick");
      report.base = integer(item, "base");
    }
    batch.reports.push_back(std::move(report));
  }
  return batch;
}

std::string encode_batch_answers(const std::vector<RelayedAnswer>& answers) {
  Json list = Json::array();
  for (const auto& answer : answers) {
    list.push_back({{"status", answer.status}, {"body", answer.body}});
  }
  return Json{{"answers", std::move(list)}}.dump();
}

std::vector<RelayedAnswer> parse_batch_answers(const std::string& body) {
  const Json json = parse_object(body);
  std::vector<RelayedAnswer> out;
  for (const Json& item : array(json, "answers")) {
    if (!item.is_object()) throw Malformed("answers must be a list of objects");
    out.push_back({static_cast<int>(integer(item, "status")), text(item, "body")});
  }
  return out;
}

std::string encode_token(std::uint64_t token) { return Json{{"token", token}}.dump(); }

std::uint64_t parse_token(const std::string& body) { return integer(parse_object(body), "token"); }

}  // namespace larkroad::protocol
