/// Field names of the protocol's messages.
///
/// Wire names are fixed and partly differ from the terms used in the code. They are mapped only
/// here. A name shared by several messages is listed once, in the first group.
#pragma once

namespace larkroad::protocol::wire {

// Shared by user, worker and cloud messages.
inline constexpr const char* kZone = "yard";
inline constexpr const char* kSpot = "loaners";
inline constexpr const char* kState = "stage";
inline constexpr const char* kTasks = "legs";  // an integer in submissions, an array in heartbeats
inline constexpr const char* kMachineType = "breed";
inline constexpr const char* kMachineTypes = "breeds";
inline constexpr const char* kCpus = "cores";
inline constexpr const char* kGpus = "accelerators";
inline constexpr const char* kMemoryGb = "memGb";
inline constexpr const char* kId = "ref";  // of a job, or of a machine in the cloud's list
inline constexpr const char* kAddress = "address";
inline constexpr const char* kError = "error";

// Job submissions and responses to users.
inline constexpr const char* kJobClass = "lane";
inline constexpr const char* kTeam = "crew";
inline constexpr const char* kShape = "shape";
inline constexpr const char* kPriority = "rank";
inline constexpr const char* kOneZone = "samePlace";
inline constexpr const char* kSpread = "apart";
inline constexpr const char* kImage = "cargo";
inline constexpr const char* kImageGb = "pullGb";
inline constexpr const char* kEstimate = "expectS";
inline constexpr const char* kCheckpointInterval = "waypointS";
inline constexpr const char* kSaveTime = "stowS";
inline constexpr const char* kDeadline = "dueS";
inline constexpr const char* kTasksDone = "done";
inline constexpr const char* kTasksRunning = "running";

// Worker heartbeats, responses to them, and commands.
inline constexpr const char* kMachine = "perch";
inline constexpr const char* kIncarnation = "flight";
inline constexpr const char* kSequence = "tick";
inline constexpr const char* kFencingToken = "baton";
inline constexpr const char* kReclaimNotice = "recallS";
inline constexpr const char* kTaskId = "leg";
inline constexpr const char* kAttempt = "try";
inline constexpr const char* kExitCause = "cause";
inline constexpr const char* kSaved = "saved";
inline constexpr const char* kCommands = "calls";
inline constexpr const char* kCommandType = "call";
inline constexpr const char* kGrace = "slackS";
inline constexpr const char* kRedirectTo = "home";

// The cloud's catalog, rentals and machine list.
inline constexpr const char* kTypeName = "name";
inline constexpr const char* kCacheGb = "localGb";
inline constexpr const char* kFetchRate = "fetchGbPerS";
inline constexpr const char* kPrice = "hourly";
inline constexpr const char* kSpotPrice = "marketPrice";
inline constexpr const char* kBootTime = "bootS";
inline constexpr const char* kZones = "yards";
inline constexpr const char* kRequestId = "ask";
inline constexpr const char* kMachineCount = "number";
inline constexpr const char* kMachines = "perches";
inline constexpr const char* kAge = "ageS";
inline constexpr const char* kMore = "more";

}  // namespace larkroad::protocol::wire
