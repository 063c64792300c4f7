// The simulated users: submissions, polls, cancellations, and the watch for jobs left waiting.
#include <algorithm>

#include "sim/simulation_internal.h"

namespace fawnwheel::sim {

namespace {

constexpr Time pollPeriod{5.0};
constexpr Time maxAskDelay{0.02};      // of a question to all nodes
constexpr Time acceptancePause{0.05};  // between checks whether the dependencies have been accepted

}  // namespace

int Simulation::randomNode() {
    std::vector<int> alive;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodeUp(i) && (spec_.externalNodes != nullptr || nodes_[i]->controller->healthy()))
            alive.push_back(static_cast<int>(i));
    if (alive.empty()) return std::uniform_int_distribution<>(0, spec_.nodes - 1)(rng_);
    return alive[std::uniform_int_distribution<std::size_t>(0, alive.size() - 1)(rng_)];
}

void Simulation::submit(const protocol::JobSpec& spec, Time runs, bool faulty) {
    SimulatedJob& simulatedJob = simulatedJobs_[spec.id];
    simulatedJob.spec = spec;
    simulatedJob.runs = runs;
    simulatedJob.faulty = faulty;
    simulatedJob.submitted = true;
    checker_.submitted(spec, now_);
    submitOnceDependenciesAccepted(spec.id);
}

void Simulation::submitOnceDependenciesAccepted(const std::string& id) {
    // Users name only accepted jobs as dependencies.
    const auto& dependencies = simulatedJobs_[id].spec.dependencies;
    const bool accepted =
        std::all_of(dependencies.begin(), dependencies.end(),
                    [this](const auto& p) { return !simulatedJobs_[p].reportedState.empty(); });
    if (accepted) return sendSubmit(id, now_);
    at(now_ + acceptancePause, [this, id] { submitOnceDependenciesAccepted(id); });
}

void Simulation::sendSubmit(const std::string& id, Time first) {
    if (now_ - first > Time(60)) return;
    request("users", nodes_[static_cast<std::size_t>(randomNode())]->name,
            {"POST", wire::pathJobs,
             protocol::encodeCbor(protocol::encodeJobSpec(simulatedJobs_[id].spec))},
            Time(5), [this, id, first](const std::optional<HttpResponse>& response) {
                if (response && (response->status == 400 || response->status == 422))
                    return checker_.reportedInvalid(id);
                const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
                if (!response || response->status / 100 != 2 || !body) {
                    at(now_ + Time(1), [this, id, first] { sendSubmit(id, first); });
                    return;
                }
                recordStatus(id, protocol::textOf(*body, wire::state));
                poll(id);
            });
}

void Simulation::post(const Json& body, std::function<void(int status, std::string state)> done) {
    request("users", nodes_[static_cast<std::size_t>(randomNode())]->name,
            {"POST", wire::pathJobs, protocol::encodeCbor(body)}, Time(5),
            [done = std::move(done)](const std::optional<HttpResponse>& response) {
                const auto answered =
                    response ? protocol::decodeCbor(response->body) : std::nullopt;
                done(response ? response->status : 0,
                     answered ? protocol::textOf(*answered, wire::state) : std::string());
            });
}

void Simulation::recordStatus(const std::string& id, const std::string& state) {
    simulatedJobs_[id].reportedState = state;
    const bool isFirst = simulatedJobs_[id].firstReportedAt.empty();
    const bool isNewState = simulatedJobs_[id].firstReportedAt.try_emplace(state, now_).second;
    if (isNewState && state == wire::stateCancelled) repeatStartsOfCancelled(id);
    if (isFirst && now_ < allNodesAskedUntil_)
        for (int node = 0; node < spec_.nodes; ++node)
            at(now_ + maxAskDelay * std::uniform_real_distribution<>(0, 1)(rng_),
               [this, id, node] { getStatus(id, node); });
    checker_.statusReported(id, state, now_, responseGeneratedAt_);
}

std::optional<Time> Simulation::firstReportedAt(const std::string& job,
                                                const std::string& state) const {
    const auto simulatedJob = simulatedJobs_.find(job);
    if (simulatedJob == simulatedJobs_.end()) return std::nullopt;
    const auto found = simulatedJob->second.firstReportedAt.find(state);
    return found == simulatedJob->second.firstReportedAt.end() ? std::nullopt
                                                               : std::optional(found->second);
}

std::vector<std::string> Simulation::unfinished() const {
    std::vector<std::string> jobs;
    for (const auto& [id, simulatedJob] : simulatedJobs_)
        if (simulatedJob.reportedState != wire::stateDone &&
            simulatedJob.reportedState != wire::stateCancelled)
            jobs.push_back(id);
    return jobs;
}

void Simulation::poll(const std::string& id) {
    at(now_ + (now_ < stormUntil_ ? pollPeriod / stormFactor_ : pollPeriod), [this, id] {
        getStatus(id);
        poll(id);
    });
}

void Simulation::getStatus(const std::string& id) {
    getStatus(id, randomNode());
}

void Simulation::getStatus(const std::string& id, int node) {
    request("users", nodes_[static_cast<std::size_t>(node)]->name,
            {"GET", std::string(wire::pathJobs) + "/" + id, {}}, Time(2),
            [this, id](const std::optional<HttpResponse>& response) {
                if (response && response->status == 404) return checker_.reportedUnknown(id);
                const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
                if (!response || response->status != 200 || !body)
                    return checker_.pollFailed(id, now_);
                recordStatus(id, protocol::textOf(*body, wire::state));
            });
    checker_.tick(now_);
}

void Simulation::cancel(const std::string& id) {
    checker_.cancelRequested(id);
    request("users", nodes_[static_cast<std::size_t>(randomNode())]->name,
            {"POST", std::string(wire::pathJobs) + "/" + id + wire::pathCancel, {}}, Time(5),
            [this, id](const std::optional<HttpResponse>& response) {
                const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
                if (!response || response->status != 200 || !body) {
                    at(now_ + Time(1), [this, id] { cancel(id); });
                    return;
                }
                recordStatus(id, protocol::textOf(*body, wire::state));
            });
}

void Simulation::cancelRunning(int count, Time hangs) {
    int hung = 0;
    for (const auto& [id, simulatedJob] : simulatedJobs_) {
        if (count == 0) break;
        const auto runs = [&id = id](const Task& task) { return task.job == id && task.placed; };
        std::vector<Worker*> places;
        for (const auto& [name, w] : workers_)
            if (!w->terminated && std::any_of(w->tasks.begin(), w->tasks.end(), runs))
                places.push_back(w.get());
        if (places.empty()) continue;
        --count;
        at(now_ + Time(std::uniform_real_distribution<>(0, 0.2)(rng_)),
           [this, id = id] { cancel(id); });
        if (hangs <= Time(0) || hung++ >= 8) continue;
        places.front()->hangsUntil = now_ + hangs;
        checker_.faultsUntil(now_ + hangs);
    }
}

void Simulation::sendIrregularRequests(Time length) {
    irregularRequestsUntil_ = std::max(irregularRequestsUntil_, now_ + length);
    if (simulatedJobs_.empty()) return;
    const auto& [id, simulatedJob] = *std::next(
        simulatedJobs_.begin(), static_cast<std::ptrdiff_t>(rng_() % simulatedJobs_.size()));
    if (simulatedJob.reportedState == "done") {
        cancel(id);
    } else if (!simulatedJob.reportedState.empty()) {
        sendSubmit(id, now_);
    }
    auto spec = simulatedJob.spec;
    spec.id = "run-odd-" + std::to_string(invalidJobCount_++);
    auto body = protocol::encodeJobSpec(spec);
    switch (invalidJobCount_ % 3) {
        case 0:
            // Drops one required field; types, zone and deadline are optional.
            for (const auto* field : {wire::types, wire::zone, wire::deadline}) body.erase(field);
            body.erase(std::next(body.begin(), static_cast<std::ptrdiff_t>(rng_() % body.size())));
            break;
        case 1:
            body[wire::cpus] = 100'000.0;
            break;
        default:
            body[wire::tasks] = "three";
    }
    submitInvalid(spec.id, body);
    submitInvalidText(spec);
    if (now_ + Time(1) < irregularRequestsUntil_)
        at(now_ + Time(1), [this] { sendIrregularRequests(irregularRequestsUntil_ - now_); });
}

void Simulation::submitInvalidText(protocol::JobSpec spec) {
    spec.id = "run-text-" + std::to_string(invalidJobCount_);
    auto body = protocol::encodeJobSpec(spec);
    const auto fields = {wire::jobClass, wire::team, wire::image, wire::zone};
    body[*std::next(fields.begin(), static_cast<std::ptrdiff_t>(rng_() % fields.size()))] =
        "text-\xff\xfe";
    submitInvalid(spec.id, body);
}

void Simulation::submitInvalid(const std::string& id, const Json& body) {
    checker_.submittedInvalid(id);
    request("users", nodes_[static_cast<std::size_t>(randomNode())]->name,
            {"POST", wire::pathJobs, protocol::encodeCbor(body)}, Time(5),
            [this, id](const std::optional<HttpResponse>& response) {
                if (response && response->status / 100 == 2)
                    checker_.statusReported(id, "pending", now_);
            });
}

// Reports to the checker which jobs wait although enough fitting machines have free capacity.
void Simulation::checkWaitingJobs() {
    for (const auto& [id, simulatedJob] : simulatedJobs_)
        if (simulatedJob.submitted) checker_.observeWaiting(id, couldStart(id), now_);
    at(now_ + Time(5), [this] { checkWaitingJobs(); });
}

bool Simulation::couldStart(const std::string& id) {
    const SimulatedJob& simulatedJob = simulatedJobs_[id];
    const auto& spec = simulatedJob.spec;
    if (simulatedJob.faulty || simulatedJob.reportedState == "done" ||
        simulatedJob.reportedState == "cancelled")
        return false;
    for (const auto& dependency : spec.dependencies)
        if (!checker_.allTasksDone(dependency)) return false;
    std::set<std::uint32_t> placed = simulatedJob.done;
    protocol::Resources team;
    std::map<std::string, std::uint32_t> places;  // by zone
    const bool gang = spec.kind == protocol::JobKind::gang;
    for (const auto& [name, w] : workers_) {
        if (!w->up || w->terminated) continue;
        const auto type = std::find_if(spec_.types.begin(), spec_.types.end(),
                                       [&w = w](const auto& t) { return t.type.name == w->type; });
        auto room = type->type.capacity;
        for (const auto& task : w->tasks) {
            if (task.state == wire::stateExited) continue;
            room -= simulatedJobs_[task.job].spec.taskResources;
            if (simulatedJobs_[task.job].spec.team == spec.team)
                team += simulatedJobs_[task.job].spec.taskResources;
            if (task.job == id) placed.insert(task.index);
        }
        if ((spec.types &&
             std::find(spec.types->begin(), spec.types->end(), w->type) == spec.types->end()) ||
            (spec.zone && *spec.zone != w->zone) || (w->spot && !spec.spot) || w->faulty)
            continue;
        while (spec.taskResources.fits(room) && places[w->zone] < spec.tasks) {
            room -= spec.taskResources;
            ++places[w->zone];
        }
    }
    // Spread jobs, and one-zone arrays with placed tasks, are also constrained by the zones of
    // their other tasks, which this check does not model.
    if (spec.spread || (spec.oneZone && !gang && !placed.empty())) return false;
    if (placed.size() >= spec.tasks || (gang && !placed.empty())) return false;
    const std::uint32_t needed = gang ? spec.tasks : 1;
    for (const auto& limit : spec_.teams) {
        if (limit.name != spec.team) continue;
        const double times = needed;
        if ((limit.cpusMax > 0 && team.cpus + spec.taskResources.cpus * times > limit.cpusMax) ||
            (limit.gpusMax > 0 && team.gpus + spec.taskResources.gpus * times > limit.gpusMax))
            return false;
    }
    std::uint32_t all = 0;
    for (const auto& [zone, count] : places) {
        all += count;
        if (spec.oneZone && count >= needed) return true;
    }
    return !spec.oneZone && all >= needed;
}

std::string Simulation::lastReportedState(const std::string& job) const {
    const auto found = simulatedJobs_.find(job);
    return found == simulatedJobs_.end() ? std::string() : found->second.reportedState;
}

}  // namespace fawnwheel::sim
