#include "coordination/controller.h"

#include <spdlog/spdlog.h>

#include "protocol/names.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;
namespace wire = protocol::wire;

constexpr auto workDelay = 30ms;     // gathers what one round of events changes
constexpr int workRest = 3;          // times what the last round took
constexpr auto longestWork = 150ms;  // as far as the pause goes; a longer one was not work
constexpr auto housekeepingPeriod = 500ms;

}  // namespace

Controller::Controller(const app::Settings& settings, const app::OperatorSettings& tuning,
                       transport::Timers& timers, transport::Network& network, std::uint64_t seed)
    : context_(settings, tuning, timers, network, seed),
      replica_(context_),
      contact_(context_),
      pipeline_(context_),
      membership_(context_),
      stateWriter_(context_, pipeline_),
      placement_(context_, membership_),
      reports_(context_, membership_, stateWriter_),
      fleet_(context_, membership_, pipeline_, placement_, reports_),
      shares_(context_, membership_, pipeline_, placement_),
      transfers_(context_, pipeline_, stateWriter_.writer(), shares_, reports_),
      loans_(context_, membership_, placement_, transfers_),
      sharing_(context_, membership_, pipeline_, placement_, transfers_),
      moves_(context_, membership_, pipeline_, stateWriter_, placement_),
      lookup_(context_),
      admission_(context_, lookup_, moves_),
      triggers_(context_, membership_) {
    replica_.inFlight = [this](const std::string& key) { return pipeline_.inFlight(key); };
    replica_.onChange = [this] {
        fleet_.adoptCatalog();
        membership_.reconcile();
        stopCancelledJobs();
        triggers_.review();
        soon();
    };
    pipeline_.onDoubt = [this] { replica_.resync(); };
    pipeline_.onSettled = [this](const std::vector<std::string>& keys) { replica_.settle(keys); };
    membership_.synced = [this] { return replica_.synced(); };
    membership_.everSynced = [this] { return replica_.everSynced(); };
    membership_.recordsCurrentAsOf = [this] { return replica_.currentAsOf(); };
    membership_.onCancellations = [this] { stopCancelledJobs(); };
    membership_.ready = [this] {
        return replica_.synced() && !context_.catalog.empty() && contact_.steady();
    };
    membership_.workersLost = [this] { return contact_.lost(); };
    contact_.onChange = [this] {
        membership_.onReachabilityChanged();
        soon();
    };
    membership_.busy = [this](std::uint32_t partition) { return pipeline_.busy(partition); };
    membership_.onActive = [this](std::uint32_t partition) {
        reports_.onPartitionAcquired(partition);
        contact_.expectReports();
        soon();
    };
    membership_.onLost = [this](std::uint32_t partition) { discardUnrecorded(partition); };
    membership_.recordsComplete = [this] { return !replica_.anyDeferred(); };
    stateWriter_.onTerminal = [this](const std::string& id, bool cancelled) {
        lookup_.recordTerminal(id, cancelled);
        triggers_.announce(id);
        stopping_.erase(id);
    };
    stateWriter_.onCancelled = [this] { membership_.spreadCancellations([] {}); };
    triggers_.onRead = [this] { soon(); };
    lookup_.recordsCurrentAsOf = [this] { return replica_.currentAsOf(); };
    context_.clusterState.lock()->dependencies.stepTime = [this](const protocol::JobSpec& spec) {
        return placement_.stepTime(spec);
    };
    stateWriter_.onDurable = [this](const std::set<std::string>& machines) {
        reports_.requestReports(machines);
        soon();
    };
    transfers_.onDurable = stateWriter_.onDurable;
    sharing_.onChange = [this] { soon(); };
    reports_.onUnassigned = [this](const protocol::WorkerReport& report) {
        fleet_.noteReported(report);
    };
    reports_.onChange = [this] { soon(); };
    placement_.rentable = [this](const Job& job, const std::string& zone) {
        return fleet_.rentable(job, zone);
    };
    fleet_.onAnswer = [this] { soon(); };
    admission_.synced = [this] { return replica_.synced(); };
    admission_.onAccepted = [this] { soon(); };
    admission_.onCancelled = [this](std::function<void()> then) {
        membership_.spreadCancellations(std::move(then));
        stopCancelledJobs();
    };
}

void Controller::start() {
    replica_.start();
    membership_.start();
    fleet_.start();
    moves_.start();
    sharing_.start();
    housekeeping();
}

void Controller::soon() {
    if (workPlanned_) return;
    workPlanned_ = true;
    // Reports, renewals and users' requests need most of a small share of a core: the longer a
    // round takes, the longer the next one waits.
    const auto pause = std::max<Duration>(workDelay, workTook_ * workRest);
    context_.timers.after(pause, [this] {
        workPlanned_ = false;
        const auto began = context_.now();
        work();
        workTook_ = std::min<Duration>(context_.now() - began, longestWork);
    });
}

void Controller::work() {
    for (const auto partition : membership_.ledPartitions()) {
        // Starts would reach nobody: what waits is left to the next leader.
        if (membership_.leaseStands() && !contact_.lost()) {
            const auto unplaced = placement_.run(partition);
            sharing_.recordUnplaced(partition, unplaced);
            for (const auto& machine : placement_.preemptFor(partition, unplaced))
                reports_.stopMarked(machine);
            loans_.askFor(partition, unplaced);
            shares_.askFor(partition, unplaced);
            fleet_.rentFor(partition, unplaced);
        }
        stateWriter_.flush(partition);
    }
}

void Controller::discardUnrecorded(std::uint32_t partition) {
    // Kept over a loss, a claim that this leader had seen ended, and a successor had started once
    // more by its record, was written off when the partition came back: the task then ran unknown
    // to anybody, and once more elsewhere (scenario unrecorded_over_terms).
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
            if (clusterState->knownCancelled(job) && job.anyClaim() && stopping_.insert(id).second)
                fresh.push_back(id);
    }
    for (const auto& id : fresh) reports_.stopNow(id);
}

void Controller::housekeeping() {
    for (const auto partition : membership_.ledPartitions()) {
        if (membership_.leaseStands()) reports_.expireSilent(partition);
        fleet_.review(partition);
        if (membership_.leaseStands()) loans_.review(partition);
        if (membership_.leaseStands() && fleet_.mayEmpty(partition))
            if (const auto machine = placement_.emptyOne(partition)) reports_.stopMarked(*machine);
    }
    std::erase_if(stopping_, [this](const std::string& id) {
        return context_.clusterState.lock()->job(id) == nullptr;
    });
    triggers_.review();
    contact_.review(membership_.ledPartitions());
    soon();
    context_.timers.after(housekeepingPeriod, [this] { housekeeping(); });
}

void Controller::onReport(const std::string& body, const transport::HttpReply& reply) {
    const auto map = protocol::decodeCbor(body);
    const auto report = map ? protocol::parseWorkerReport(*map) : std::nullopt;
    if (!report) return reply({400, {}, 0});
    contact_.noteReport();
    if (!replica_.synced()) return reply({503, {}, 0});
    auto answer = reports_.handle(*report);
    reply({answer.status, std::move(answer.body), 0});
}

void Controller::onRequest(const transport::HttpRequest& request, transport::HttpReply reply) {
    const auto path = request.path.substr(0, request.path.find('?'));
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    const transport::HttpResponse wrongMethod{405, {}, 0};
    if (path == wire::pathReport) return post ? onReport(request.body, reply) : reply(wrongMethod);
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
    return get ? admission_.ask(id, std::move(reply)) : reply(wrongMethod);
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
            else if constexpr (std::is_same_v<Message, protocol::MoveAsk>)
                moves_.onAsk(peer, message);
            else if constexpr (std::is_same_v<Message, protocol::MoveAnswer>)
                moves_.onAnswer(message);
            else if constexpr (std::is_same_v<Message, protocol::NoCapacity>)
                fleet_.onNoCapacity(message);
            else if constexpr (std::is_same_v<Message, protocol::LoanAsk>)
                loans_.onAsk(peer, message);
            else if constexpr (std::is_same_v<Message, protocol::ShareAsk>)
                shares_.onAsk(peer, message);
            else if constexpr (std::is_same_v<Message, protocol::JobEnded>)
                triggers_.onEnded(message);
            else if constexpr (std::is_same_v<Message, protocol::DemandReport>)
                sharing_.onDemand(peer, message);
            else if constexpr (std::is_same_v<Message, protocol::LeaderHeartbeat>)
                membership_.onLeaderHeartbeat(peer, message);
        },
        envelope->message);
}

}  // namespace fawnwheel::coordination
