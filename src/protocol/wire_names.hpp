/// The names that the protocol's messages have on the wire, each with its term in the code.
///
/// The wire's names are fixed and partly its own; this is the one place where they are mapped. A
/// name that several messages share stands once, in the first group.
#pragma once

namespace larkroad::protocol::wire {

// Shared by messages of users, workers and the cloud.
inline constexpr const char* kZone = "yard";
inline constexpr const char* kSpot = "loaners";
inline constexpr const char* kState = "stage";
inline constexpr const char* kTasks = "legs";  // a number in submissions, a list in heartbeats
inline constexpr const char* kMachineType = "breed";
inline constexpr const char* kMachineTypes = "breeds";
inline constexpr const char* kCpus = "cores";
inline constexpr const char* kGpus = "accelerators";
inline constexpr const char* kMemoryGb = "memGb";
inline constexpr const char* kId = "ref";  // of a job, or of a machine that the cloud lists
inline constexpr const char* kAddress = "address";
inline constexpr const char* kError = "error";

// Submissions and answers to users.
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

// Heartbeats of workers, the answers to them, and commands.
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
