#include "coordination/controller.h"

#include <spdlog/spdlog.h>

#include "protocol/names.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
namespace wire = protocol::wire;

constexpr auto roundDelay = 30ms;     // gathers what one round of events changes
constexpr int roundPauseFactor = 3;   // times what the last round took
constexpr auto longestRound = 150ms;  // as far as the pause goes; a longer one was not work
constexpr auto maintenanceInterval = 500ms;

}  // namespace

Controller::Controller(const config::Settings& settings, const config::OperatorSettings& tuning,
                       transport::Timers& timers, transport::Network& network, std::uint64_t seed)
    : context_(settings, tuning, timers, network, seed),
      replica_(context_),
      reachability_(context_),
      pipeline_(context_),
      membership_(context_),
      stateWriter_(context_, pipeline_),
      queueOrder_(context_),
      teamQuotas_(context_),
      heartbeats_(context_, membership_, stateWriter_),
      machineRecords_(context_, pipeline_, *this),
      catalog_(context_, membership_, pipeline_),
      decommissioner_(context_, membership_, heartbeats_, machineRecords_),
      inventory_(context_, membership_, heartbeats_, machineRecords_, decommissioner_),
      warmPool_(context_, queueOrder_),
      reconciler_(context_, membership_, machineRecords_, catalog_, decommissioner_, inventory_,
                  warmPool_),
      autoscaler_(context_, membership_, machineRecords_, inventory_, *this),
      placement_(context_, membership_, queueOrder_, teamQuotas_, autoscaler_),
      preemption_(context_, queueOrder_),
      consolidation_(context_),
      quotas_(context_, membership_, pipeline_, teamQuotas_, queueOrder_),
      transfers_(context_, pipeline_, stateWriter_.writer(), quotas_, heartbeats_),
      lending_(context_, membership_, placement_, transfers_),
      rebalancer_(context_, membership_, pipeline_, placement_, transfers_),
      migrator_(context_, membership_, pipeline_, stateWriter_, placement_),
      statusReader_(context_),
      admission_(context_, statusReader_, migrator_),
      completionNotifier_(context_, membership_, *this) {
    replica_.inFlight = [this](const std::string& key) { return pipeline_.inFlight(key); };
    replica_.onChange = [this] {
        catalog_.adoptRecorded();
        membership_.reconcile();
        stopCancelledJobs();
        completionNotifier_.resolveDependencies();
        scheduleRound();
    };
    pipeline_.onDoubt = [this] { replica_.resync(); };
    pipeline_.onSettled = [this](const std::vector<std::string>& keys) { replica_.settle(keys); };
    membership_.synced = [this] { return replica_.synced(); };
    membership_.everSynced = [this] { return replica_.everSynced(); };
    membership_.recordsCurrentAsOf = [this] { return replica_.currentAsOf(); };
    membership_.onCancellations = [this] { stopCancelledJobs(); };
    membership_.ready = [this] {
        return replica_.synced() && !context_.catalog.empty() && reachability_.isStable();
    };
    membership_.workersUnreachable = [this] { return reachability_.isUnreachable(); };
    reachability_.onChange = [this] {
        membership_.onReachabilityChanged();
        scheduleRound();
    };
    membership_.busy = [this](std::uint32_t partition) { return pipeline_.busy(partition); };
    membership_.onActive = [this](std::uint32_t partition) {
        heartbeats_.onPartitionAcquired(partition);
        reachability_.expectHeartbeats();
        scheduleRound();
    };
    membership_.onLost = [this](std::uint32_t partition) { discardUnrecorded(partition); };
    membership_.recordsComplete = [this] { return !replica_.anyDeferred(); };
    stateWriter_.onTerminal = [this](const std::string& id, bool cancelled) {
        statusReader_.recordTerminal(id, cancelled);
        completionNotifier_.announce(id);
        stopping_.erase(id);
    };
    stateWriter_.onCancelled = [this] { membership_.broadcastCancellations([] {}); };
    statusReader_.recordsCurrentAsOf = [this] { return replica_.currentAsOf(); };
    context_.clusterState.lock()->dependencyGraph.stepTime = [this](const protocol::JobSpec& spec) {
        return queueOrder_.stepTime(spec);
    };
    stateWriter_.onDurable = [this](const std::set<std::string>& machines) {
        heartbeats_.requestHeartbeats(machines);
        scheduleRound();
    };
    transfers_.onDurable = stateWriter_.onDurable;
    rebalancer_.onChange = [this] { scheduleRound(); };
    heartbeats_.onUnassigned = [this](const protocol::Heartbeat& heartbeat) {
        inventory_.onUnassignedHeartbeat(heartbeat);
    };
    heartbeats_.onChange = [this] { scheduleRound(); };
    admission_.synced = [this] { return replica_.synced(); };
    admission_.onAccepted = [this] { scheduleRound(); };
    admission_.onCancelled = [this](std::function<void()> then) {
        membership_.broadcastCancellations(std::move(then));
        stopCancelledJobs();
    };
}

void Controller::start() {
    replica_.start();
    membership_.start();
    catalog_.start();
    inventory_.start();
    migrator_.start();
    rebalancer_.start();
    runMaintenance();
}

void Controller::scheduleRound() {
    if (roundScheduled_) return;
    roundScheduled_ = true;
    // Heartbeats, renewals and users' requests need most of a small share of a core: the longer a
    // round takes, the longer the next one waits.
    const auto pause = std::max<Duration>(roundDelay, lastRoundDuration_ * roundPauseFactor);
    context_.timers.after(pause, [this] {
        roundScheduled_ = false;
        const auto began = context_.now();
        runRound();
        lastRoundDuration_ = std::min<Duration>(context_.now() - began, longestRound);
    });
}

void Controller::runRound() {
    for (const auto partition : membership_.ledPartitions()) {
        // Starts would reach nobody: what waits is left to the next leader.
        if (membership_.isLeaseValid() && !reachability_.isUnreachable()) {
            const auto unschedulable = placement_.run(partition);
            rebalancer_.recordUnschedulable(partition, unschedulable);
            for (const auto& machine : preemption_.preemptFor(partition, unschedulable))
                heartbeats_.stopMarked(machine);
            lending_.requestLoans(partition, unschedulable);
            quotas_.requestQuota(partition, unschedulable);
            autoscaler_.scaleOutFor(partition, unschedulable);
        }
        stateWriter_.flush(partition);
    }
}

void Controller::discardUnrecorded(std::uint32_t partition) {
    // Kept over a loss, an allocation that this leader had seen ended, and a dependent had started
    // once more by its record, was written off when the partition came back: the task then ran
    // unknown to anybody, and once more elsewhere (scenario unrecorded_over_terms).
    if (pipeline_.busy(partition)) {
        // The outcome of what is under way is unknown: only the records tell.
        pipeline_.abandon(partition);
        return replica_.resync();
    }
    context_.clusterState.lock()->discardUnrecorded(partition);
}

void Controller::stopCancelledJobs() {
    std::vector<std::string> fresh;
    {
        auto clusterState = context_.clusterState.lock();
        for (const auto& [id, job] : clusterState->jobs)
            if (clusterState->knownCancelled(job) && job.anyAllocation() &&
                stopping_.insert(id).second)
                fresh.push_back(id);
    }
    for (const auto& id : fresh) heartbeats_.stopNow(id);
}

void Controller::runMaintenance() {
    for (const auto partition : membership_.ledPartitions()) {
        if (membership_.isLeaseValid()) heartbeats_.expireSilent(partition);
        reconciler_.reconcileMachines(partition);
        if (membership_.isLeaseValid()) lending_.returnIdleLoans(partition);
        if (membership_.isLeaseValid() && warmPool_.mayConsolidate(partition))
            if (const auto machine = consolidation_.consolidateOne(partition))
                heartbeats_.stopMarked(*machine);
    }
    std::erase_if(stopping_, [this](const std::string& id) {
        return context_.clusterState.lock()->job(id) == nullptr;
    });
    completionNotifier_.resolveDependencies();
    reachability_.checkReachability(membership_.ledPartitions());
    scheduleRound();
    context_.timers.after(maintenanceInterval, [this] { runMaintenance(); });
}

void Controller::handleHeartbeat(const std::string& body, const transport::HttpReply& reply) {
    const auto map = protocol::decodeCbor(body);
    const auto heartbeat = map ? protocol::parseHeartbeat(*map) : std::nullopt;
    if (!heartbeat) return reply({400, {}, 0});
    reachability_.onHeartbeat();
    if (!replica_.synced()) return reply({503, {}, 0});
    auto answer = heartbeats_.handleHeartbeat(*heartbeat);
    reply({answer.status, std::move(answer.body), 0});
}

void Controller::onRequest(const transport::HttpRequest& request, transport::HttpReply reply) {
    const auto path = request.path.substr(0, request.path.find('?'));
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    const transport::HttpResponse wrongMethod{405, {}, 0};
    if (path == wire::pathHeartbeat)
        return post ? handleHeartbeat(request.body, reply) : reply(wrongMethod);
    if (path == wire::pathHealth)
        return reply(get ? transport::HttpResponse{healthy() ? 200 : 503, {}, 0} : wrongMethod);
    const std::string jobs = wire::pathJobs;
    if (path == jobs) return post ? admission_.submit(request.body, reply) : reply(wrongMethod);
    if (!path.starts_with(jobs + "/")) return reply({404, {}, 0});
    auto id = path.substr(jobs.size() + 1);
    const std::string_view cancel = wire::pathCancel;
    if (id.ends_with(cancel)) {
        id.resize(id.size() - cancel.size());
        return post ? admission_.cancel(id, std::move(reply)) : reply(wrongMethod);
    }
    return get ? admission_.getStatus(id, std::move(reply)) : reply(wrongMethod);
}

void Controller::onFrame(const std::string& payload) {
    const auto envelope = protocol::decodePeer(payload);
    if (!envelope) {
        spdlog::debug("peer: a frame that can't be read");
        return;
    }
    const auto& peer = envelope->sender;
    std::visit(
        [&](const auto& message) {
            using Message = std::decay_t<decltype(message)>;
            if constexpr (std::is_same_v<Message, protocol::PeerHeartbeat>)
                membership_.onPeerHeartbeat(peer, message);
            else if constexpr (std::is_same_v<Message, protocol::MigrationRequest>)
                migrator_.onMigrationRequest(peer, message);
            else if constexpr (std::is_same_v<Message, protocol::MigrationResponse>)
                migrator_.onMigrationResponse(message);
            else if constexpr (std::is_same_v<Message, protocol::CapacityExhausted>)
                autoscaler_.onCapacityExhausted(message);
            else if constexpr (std::is_same_v<Message, protocol::LoanRequest>)
                lending_.onLoanRequest(peer, message);
            else if constexpr (std::is_same_v<Message, protocol::QuotaRequest>)
                quotas_.onQuotaRequest(peer, message);
            else if constexpr (std::is_same_v<Message, protocol::JobCompleted>)
                completionNotifier_.onJobCompleted(message);
            else if constexpr (std::is_same_v<Message, protocol::DemandUpdate>)
                rebalancer_.onDemand(peer, message);
            else if constexpr (std::is_same_v<Message, protocol::LeaderHeartbeat>)
                membership_.onLeaderHeartbeat(peer, message);
        },
        envelope->message);
}

}  // namespace fawnwheel::coordination
