#include "sim/checker.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace fawnwheel::sim {

namespace {

constexpr Time responseTimeout{75};
constexpr Time startTimeout{240};
constexpr Time waitTimeout{90};
// Longer than gang tasks wait for their peers before they exit.
constexpr Time partialGangTimeout{75};
// A task that ends so soon after a transfer may have ended because of it.
constexpr Time transferEffectWindow{60};

}  // namespace

void Checker::addViolation(const std::string& rule, const std::string& what) {
    violations_.push_back(rule + ": " + what);
}

void Checker::submitted(const protocol::JobSpec& spec, Time at) {
    jobs_[spec.id].spec = spec;
    jobs_[spec.id].submittedAt = at;
}

void Checker::cancelRequested(const std::string& job) {
    jobs_[job].cancelRequested = true;
}

void Checker::started(const std::string& id, std::uint32_t task, const Place& place, Time at) {
    ++starts_;
    TrackedJob& job = jobs_[id];
    if (!job.firstStartAt) job.firstStartAt = at;
    const auto name = id + "/" + std::to_string(task);
    for (const auto& dependency : job.spec.dependencies)
        if (!allTasksDone(dependency))
            addViolation("too_early", fmt::format("{} before {}", name, dependency));
    for (const auto& [machine, other] : job.placements[task])
        if (machine != place.machine)
            addViolation("ran_twice", fmt::format("{} on {} and {}", name, machine, place.machine));
    const auto& spec = job.spec;
    if ((spec.types &&
         std::find(spec.types->begin(), spec.types->end(), place.type) == spec.types->end()) ||
        (spec.zone && *spec.zone != place.zone) || (place.spot && !spec.spot))
        addViolation("wrong_place", name + " on " + place.machine);
    std::uint32_t sameZone = 1;
    for (const auto& [other, places] : job.placements) {
        for (const auto& [machine, where] : places) {
            if (other == task && machine == place.machine) continue;
            if (where.zone == place.zone)
                ++sameZone;
            else if (spec.oneZone)
                addViolation("wrong_place", name + " outside its job's zone");
        }
    }
    if (spec.spread && sameZone > (spec.tasks + 1) / 2)
        addViolation("wrong_place", name + " exceeds its job's share of tasks in " + place.zone);
    if (job.final == "cancelled") ++startsAfterCancel_;
    if (job.final == "cancelled" && at > job.terminalReportedAt + cancelLimit_)
        addViolation("ran_cancelled", name + " started");
    job.placements[task][place.machine] = place;
    for (const auto& team : teams_) {
        if (team.name != spec.team) continue;
        protocol::Resources used;
        for (const auto& [other, trackedJob] : jobs_)
            if (trackedJob.spec.team == team.name)
                for (const auto& [index, places] : trackedJob.placements)
                    for (std::size_t i = 0; i < places.size(); ++i)
                        used += trackedJob.spec.taskResources;
        if ((team.cpusMax > 0 && used.cpus > team.cpusMax + 1e-6) ||
            (team.gpusMax > 0 && used.gpus > team.gpusMax + 1e-6))
            addViolation("quota", team.name + " with " + name);
    }
}

void Checker::ended(const std::string& id, std::uint32_t task, const std::string& machine,
                    bool completed, Time at) {
    TrackedJob& job = jobs_[id];
    job.placements[task].erase(machine);
    if (!completed) return;
    job.done.insert(task);
    if (allTasksDone(id) && !job.doneAt) job.doneAt = at;
}

std::vector<const Checker::TrackedJob*> Checker::ancestors(const TrackedJob& job) const {
    std::vector<const TrackedJob*> found;
    std::set<std::string> seen;
    std::vector<const TrackedJob*> open{&job};
    while (!open.empty()) {
        const TrackedJob& next = *open.back();
        open.pop_back();
        for (const auto& id : next.spec.dependencies) {
            const auto trackedJob = jobs_.find(id);
            if (trackedJob == jobs_.end() || !seen.insert(id).second) continue;
            found.push_back(&trackedJob->second);
            open.push_back(&trackedJob->second);
        }
    }
    return found;
}

std::optional<Time> Checker::readyAt(const TrackedJob& job) const {
    Time ready = job.submittedAt;
    for (const auto& id : job.spec.dependencies) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() || !found->second.doneAt) return std::nullopt;
        ready = std::max(ready, *found->second.doneAt);
    }
    return ready;
}

void Checker::checkOrphaned(const std::string& id, const TrackedJob& job, Time generatedAt) {
    for (const auto* ancestor : ancestors(job))
        if (ancestor->final == "cancelled" &&
            generatedAt > ancestor->terminalReportedAt + cancelLimit_)
            return addViolation("orphaned",
                                id + " although " + ancestor->spec.id + " is cancelled");
}

void Checker::responseAccepted(const std::string& machine, const std::string& node,
                               std::uint64_t fencingToken) {
    const auto& leader = tokenIssuers_.try_emplace({machine, fencingToken}, node).first->second;
    if (leader != node)
        addViolation("two_owners", fmt::format("{} by {} and {} with token {}", machine, leader,
                                               node, fencingToken));
}

void Checker::machineTransferred(const std::string& job, std::uint32_t task, const std::string&,
                                 Time at) {
    transferredAt_[{job, task}] = at;
}

void Checker::endedIncomplete(const std::string& id, std::uint32_t task, const std::string& machine,
                              const std::string& why, Time at) {
    const auto moved = transferredAt_.find({id, task});
    if (!transferDisruptionsForbidden_ || moved == transferredAt_.end() ||
        jobs_[id].cancelRequested || at - moved->second > transferEffectWindow)
        return;
    addViolation("disturbed",
                 fmt::format("{}/{} on {} {:.1f} s after its machine was transferred: {}", id, task,
                             machine, (at - moved->second).count(), why));
}

void Checker::checkPartiallyPlaced(const std::string& id, TrackedJob& job, Time at) {
    if (job.spec.kind != protocol::JobKind::gang) return;
    const auto placed = static_cast<std::uint32_t>(
        std::count_if(job.placements.begin(), job.placements.end(),
                      [](const auto& entry) { return !entry.second.empty(); }));
    if (placed == 0 || placed == job.spec.tasks || at < faultFreeSince_)
        return job.partiallyPlacedSince.reset();
    if (!job.partiallyPlacedSince) job.partiallyPlacedSince = at;
    if (at - *job.partiallyPlacedSince <= partialGangTimeout) return;
    addViolation("partly_placed", fmt::format("{}: {} of {} tasks", id, placed, job.spec.tasks));
    job.partiallyPlacedSince = at;
}

void Checker::tick(Time at) {
    for (auto& [id, job] : jobs_) {
        checkPartiallyPlaced(id, job, at);
        if (job.final != "cancelled" || at <= job.terminalReportedAt + cancelLimit_) continue;
        for (const auto& [task, places] : job.placements)
            if (!places.empty())
                addViolation("ran_cancelled", id + "/" + std::to_string(task) + " still runs");
        job.placements.clear();
    }
}

void Checker::observePlacement(const std::string& job, std::uint32_t task,
                               const std::string& machine, bool recorded, Time allowance, Time at) {
    const auto name = job + "/" + std::to_string(task) + " on " + machine;
    if (recorded) {
        unallocatedSince_.erase(name);
        return;
    }
    auto& since = unallocatedSince_.try_emplace(name, at).first->second;
    since = std::max(since, faultFreeSince_);
    if (at - since <= allowance) return;
    addViolation("orphaned", name + " runs without a recorded allocation");
    since = at;
}

void Checker::observeWaiting(const std::string& id, bool couldStart, Time at) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.accepted) return;
    TrackedJob& job = found->second;
    if (!couldStart || job.cancelRequested) return job.startableSince.reset();
    const auto since = std::max(job.startableSince.value_or(at), faultFreeSince_);
    job.startableSince = since;
    if (at - since <= waitTimeout) return;
    addViolation("left_waiting", id + " although there is room for it");
    job.startableSince = at;
}

bool Checker::allTasksDone(const std::string& id) const {
    const auto found = jobs_.find(id);
    return found != jobs_.end() && found->second.done.size() == found->second.spec.tasks;
}

void Checker::statusReported(const std::string& id, const std::string& state, Time at,
                             Time generatedAt) {
    if (invalidJobs_.contains(id)) return addViolation("accepted_bad", id + " is called " + state);
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.spec.tasks == 0)
        return addViolation("invented", id + " is called " + state);
    TrackedJob& job = found->second;
    job.accepted = true;
    job.lastResponseAt = at;
    if (state == "done" && job.done.size() < job.spec.tasks)
        addViolation("not_done", id + " with " + std::to_string(job.done.size()) + " tasks done");
    if (!job.final.empty() && state != job.final && generatedAt >= job.terminalReportedAt)
        addViolation("went_back", id + " was " + job.final + ", is " + state);
    if (state == "cancelled" && !job.cancelRequested) {
        const auto above = ancestors(job);
        if (std::none_of(above.begin(), above.end(), [](const TrackedJob* ancestor) {
                return ancestor->cancelRequested && ancestor->final != "done";
            }))
            addViolation("went_back", id + " cancelled without a request");
    }
    if (state != "done" && state != "cancelled") checkOrphaned(id, job, generatedAt);
    if (job.final.empty() && (state == "done" || state == "cancelled")) {
        job.final = state;
        job.terminalReportedAt = at;
    }
}

void Checker::reportedUnknown(const std::string& id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.accepted) addViolation("forgotten", id + " got 404");
}

void Checker::reportedInvalid(const std::string& id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.accepted)
        addViolation("forgotten", id + " was refused when submitted again");
}

void Checker::pollFailed(const std::string& id, Time at) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.accepted) return;
    if (at - std::max(found->second.lastResponseAt, faultFreeSince_) > responseTimeout) {
        addViolation("forgotten", id + " got no response for too long");
        found->second.lastResponseAt = at;
    }
}

void Checker::finish(Time at) {
    std::map<std::string, StartCounts> groups;
    std::map<std::string, std::uint32_t> largest;
    const auto counts = [&](const TrackedJob& job) {
        const auto ready = readyAt(job);
        const auto above = ancestors(job);
        // A job is cancelled together with a dependency that was cancelled as its last task ended.
        const bool dependencyCancelled =
            std::any_of(above.begin(), above.end(),
                        [](const TrackedJob* ancestor) { return ancestor->final == "cancelled"; });
        return job.accepted && !job.cancelRequested && !dependencyCancelled && ready &&
               *ready + startTimeout <= at;
    };
    for (const auto& [id, job] : jobs_)
        if (counts(job)) {
            auto& most = largest[job.spec.jobClass];
            most = std::max(most, job.spec.tasks);
        }
    for (const auto& [id, job] : jobs_) {
        if (!counts(job)) continue;
        const auto& spec = job.spec;
        for (const auto& group : {"class " + spec.jobClass, "team " + spec.team}) {
            ++groups[group].jobs;
            if (job.firstStartAt) ++groups[group].started;
        }
        if (spec.tasks < largest[spec.jobClass]) continue;
        auto& group = groups["the largest of class " + spec.jobClass];
        ++group.jobs;
        if (job.firstStartAt && *job.firstStartAt <= *readyAt(job) + startTimeout) ++group.started;
    }
    for (const auto& [name, group] : groups)
        if (group.started * 2 < group.jobs)
            addViolation("unserved", name + ": " + std::to_string(group.started) + " of " +
                                         std::to_string(group.jobs));
}

}  // namespace fawnwheel::sim
