// What larkroad keeps in the state service, and under which keys.
//
//   leader          who leads, under a lease; its mark is the token
//   catalog         the machine types, so that a restarted node need not wait for the cloud
//   j/ID            a job that is not over: what was submitted, and whether it is cancelled
//   p/ID/CHUNK      where the job's tasks are placed and which are done, a range of tasks each
//   d/ID            a job that is over, for good
//   m/MACHINE       the images a machine is known to hold: a help to a new leader, nothing more
//   q/MEMBER/SLOT   a batch of reports that a relay cannot hand to the leader directly
//   a/MEMBER/SLOT   the leader's answer to it
//   v/MEMBER        the version of records and messages that a controller understands
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/job_messages.hpp"
#include "protocol/relay_messages.hpp"

namespace larkroad::storage {

using protocol::Json;

inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kCatalogKey = "catalog";
inline constexpr const char* kJobPrefix = "j/";
inline constexpr const char* kPlacementPrefix = "p/";
inline constexpr const char* kMachinePrefix = "m/";
inline constexpr const char* kVersionPrefix = "v/";
inline constexpr const char* kRelayRequestPrefix = "q/";

std::string job_key(const std::string& id);
std::string finished_key(const std::string& id);
std::string relay_request_key(const std::string& member, const std::string& slot);
std::string relay_answer_key(const std::string& member, const std::string& slot);
std::string version_key(const std::string& member);
std::string placement_key(const std::string& id, std::uint32_t shard);
// The job id and shard that a placement key names; false when it is not one.
bool parse_placement_key(const std::string& key, std::string& id, std::uint32_t& shard);

struct JobRecord {
  protocol::JobSpec spec;
  double submitted_at = 0;  // time of day
  std::uint32_t tasks_per_shard = 1;
  bool cancelled = false;
};
Json encode(const JobRecord& record);
JobRecord decode_job(const std::string& id, const Json& data);

struct PlacedTask {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string machine;
  std::uint64_t incarnation = 0;
};
struct PlacementRecord {
  std::uint64_t attempt = 0;                                  // the highest ever used in this shard
  std::vector<std::pair<std::uint32_t, std::uint32_t>> done;  // ranges, both ends included
  std::vector<PlacedTask> placed;
};
Json encode(const PlacementRecord& record);
PlacementRecord decode_placement_record(const Json& data);

struct FinishedRecord {
  bool cancelled = false;
  std::uint32_t tasks = 0;
};
Json encode(const FinishedRecord& record);
FinishedRecord decode_finished(const Json& data);

using Images = std::vector<std::pair<std::string, double>>;  // name and size, oldest use first
Json encode(const Images& images);
Images decode_images(const Json& data);

Json encode_version(std::uint64_t version);
std::uint64_t decode_version(const Json& data);

// A batch of reports and its answer, told from earlier ones in the same place by a number.
struct RelayRequestRecord {
  std::uint64_t number = 0;
  protocol::RelayBatch batch;
};
Json encode(const RelayRequestRecord& record);
RelayRequestRecord decode_relay_request(const Json& data);

struct RelayAnswerRecord {
  std::uint64_t number = 0;
  int status = 0;  // as on the direct way
  std::string body;
};
Json encode(const RelayAnswerRecord& record);
RelayAnswerRecord decode_relay_answer(const Json& data);

// How many tasks share a placement record, so that its worst case fits the service's value limit.
std::uint32_t max_tasks_per_shard(double value_kb);

// The size of a record as the state service counts it.
size_t encoded_size(const Json& record);
bool fits_value(const Json& record, double value_bytes);

// A job's record for a value of this size at most. One that was accepted under larger limits may
// not fit; a cancelled one then leaves out what only matters for starting tasks.
Json encode_within(JobRecord record, double value_bytes);

// Whether a new job's record fits, and still does when the job is cancelled.
bool can_be_cancelled_within(JobRecord record, double value_bytes);

}  // namespace larkroad::storage
