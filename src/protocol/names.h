/// @file
/// The only table of the strings used in HTTP messages. The rest of the project uses the C++ names.
#pragma once

namespace fawnwheel::protocol::wire {

// Fields
inline constexpr auto id = "id";
inline constexpr auto jobClass = "herd";
inline constexpr auto team = "keeper";
inline constexpr auto kind = "gait";
inline constexpr auto priority = "rank";
inline constexpr auto tasks = "hooves";
inline constexpr auto task = "hoof";
inline constexpr auto cpus = "cores";
inline constexpr auto gpus = "gpus";
inline constexpr auto memory = "mem_gb";
inline constexpr auto image = "coat";
inline constexpr auto imageSize = "image_gb";
inline constexpr auto types = "breeds";
inline constexpr auto type = "breed";
inline constexpr auto zone = "meadow";
inline constexpr auto zones = "meadows";
inline constexpr auto oneZone = "together";
inline constexpr auto spread = "apart";
inline constexpr auto spot = "strays";
inline constexpr auto estimate = "stride_s";
inline constexpr auto checkpointInterval = "rest_s";
inline constexpr auto checkpointDuration = "cache_s";
inline constexpr auto deadline = "dusk_s";
inline constexpr auto dependencies = "follows";
inline constexpr auto state = "stance";
inline constexpr auto done = "done";
inline constexpr auto running = "running";
inline constexpr auto machine = "spoke";
inline constexpr auto machines = "spokes";
inline constexpr auto address = "address";
inline constexpr auto agentEpoch = "run";
inline constexpr auto sequence = "tick";
inline constexpr auto fencingToken = "crook";
inline constexpr auto interruptionNotice = "warning_s";
inline constexpr auto attempt = "leap";
inline constexpr auto cause = "cause";
inline constexpr auto saved = "kept";
inline constexpr auto commands = "calls";
inline constexpr auto command = "call";
inline constexpr auto grace = "slack_s";
inline constexpr auto redirectTo = "herder";
inline constexpr auto provisioningRequest = "hire";
inline constexpr auto count = "count";
inline constexpr auto name = "name";
inline constexpr auto cacheSize = "cache_gb";
inline constexpr auto fetchRate = "pull_gb_per_s";
inline constexpr auto price = "price";
inline constexpr auto spotPrice = "market_price";
inline constexpr auto bootTime = "ready_s";
inline constexpr auto age = "age_s";
inline constexpr auto more = "more";
inline constexpr auto key = "k";
inline constexpr auto value = "value";
inline constexpr auto revision = "ring";
inline constexpr auto version = "mark";
inline constexpr auto lease = "tether";
inline constexpr auto leaseTtl = "ttl_ms";
inline constexpr auto items = "items";
inline constexpr auto compares = "guards";
inline constexpr auto writes = "writes";
inline constexpr auto put = "write";
inline constexpr auto drop = "drop";
inline constexpr auto failed = "failed";
inline constexpr auto events = "log";

// Values
inline constexpr auto kindArray = "batch";
inline constexpr auto kindGang = "gang";
inline constexpr auto kindService = "daemon";
inline constexpr auto priorityProduction = "prod";
inline constexpr auto priorityHigh = "urgent";
inline constexpr auto priorityNormal = "standard";
inline constexpr auto priorityLow = "idle";
inline constexpr auto stateQueued = "pending";
inline constexpr auto stateRunning = "running";
inline constexpr auto stateDone = "done";
inline constexpr auto stateCancelled = "cancelled";
inline constexpr auto stateFetching = "pulling";
inline constexpr auto stateWaiting = "gathering";
inline constexpr auto stateSaving = "saving";
inline constexpr auto stateExited = "ended";
inline constexpr auto stateBooting = "starting";
inline constexpr auto stateFailed = "failed";
inline constexpr auto causeDone = "done";
inline constexpr auto causeStopped = "halted";
inline constexpr auto causePeersGone = "mates_gone";
inline constexpr auto causeGangIncomplete = "incomplete";
inline constexpr auto causeError = "error";
inline constexpr auto causeNoCapacity = "full";
inline constexpr auto causeDuplicateTask = "in_use";
inline constexpr auto causeUnknown = "unknown";
inline constexpr auto commandStart = "launch";
inline constexpr auto commandStop = "stop";
inline constexpr auto commandForget = "forget";

// Paths
inline constexpr auto pathJobs = "/api/jobs";
inline constexpr auto pathCancel = "/cancel";
inline constexpr auto pathHealth = "/healthz";
inline constexpr auto pathHeartbeat = "/v1/report";
inline constexpr auto pathCommands = "/orders";
inline constexpr auto pathInspect = "/inspect";
inline constexpr auto pathCatalog = "/catalog";
inline constexpr auto pathMachines = "/rentals";
inline constexpr auto pathReleaseMachines = "/rentals/release";
inline constexpr auto pathKeys = "/keys";
inline constexpr auto pathTransaction = "/txn";
inline constexpr auto pathLeases = "/holds";
inline constexpr auto pathRenew = "/extend";
inline constexpr auto pathWatch = "/follow";
inline constexpr auto querySince = "since";
inline constexpr auto queryLimit = "most";
inline constexpr auto queryPrefix = "starts";
inline constexpr auto queryWait = "wait_ms";
inline constexpr auto jobPrefix = "run-";

}  // namespace fawnwheel::protocol::wire
