#include "sim/checker.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace fawnwheel::sim {

namespace {

constexpr Time longestSilence{75};
constexpr Time latestBegin{240};
constexpr Time longestWait{90};
constexpr Time longestPartly{75};  // gangs whose tasks wait in vain give up sooner
constexpr Time disturbance{60};    // after a move, what ends a task may come of it

}  // namespace

void Checker::breach(const std::string& rule, const std::string& what) {
    breaches_.push_back(rule + ": " + what);
}

void Checker::submitted(const protocol::JobSpec& spec, Time at) {
    jobs_[spec.id].spec = spec;
    jobs_[spec.id].submittedAt = at;
}

void Checker::askedToCancel(const std::string& job) {
    jobs_[job].cancelAsked = true;
}

void Checker::started(const std::string& id, std::uint32_t task, const Place& place, Time at) {
    ++starts_;
    JobTruth& job = jobs_[id];
    if (!job.begunAt) job.begunAt = at;
    const auto name = id + "/" + std::to_string(task);
    for (const auto& dependency : job.spec.dependencies)
        if (!truthDone(dependency))
            breach("too_early", fmt::format("{} before {}", name, dependency));
    for (const auto& [machine, other] : job.on[task])
        if (machine != place.machine)
            breach("ran_twice", fmt::format("{} on {} and {}", name, machine, place.machine));
    const auto& spec = job.spec;
    if ((spec.types &&
         std::find(spec.types->begin(), spec.types->end(), place.type) == spec.types->end()) ||
        (spec.zone && *spec.zone != place.zone) || (place.spot && !spec.spot))
        breach("wrong_place", name + " on " + place.machine);
    std::uint32_t sameZone = 1;
    for (const auto& [other, places] : job.on) {
        for (const auto& [machine, where] : places) {
            if (other == task && machine == place.machine) continue;
            if (where.zone == place.zone)
                ++sameZone;
            else if (spec.oneZone)
                breach("wrong_place", name + " away from its job's zone");
        }
    }
    if (spec.spread && sameZone > (spec.tasks + 1) / 2)
        breach("wrong_place", name + " one too many in " + place.zone);
    if (job.final == "cancelled") ++startsAfterCancel_;
    if (job.final == "cancelled" && at > job.cancelledAt + cancelLimit_)
        breach("ran_cancelled", name + " started");
    job.on[task][place.machine] = place;
    for (const auto& team : teams_) {
        if (team.name != spec.team) continue;
        protocol::Resources used;
        for (const auto& [other, truth] : jobs_)
            if (truth.spec.team == team.name)
                for (const auto& [index, places] : truth.on)
                    for (std::size_t i = 0; i < places.size(); ++i)
                        used += truth.spec.taskResources;
        if ((team.cpusMax > 0 && used.cpus > team.cpusMax + 1e-6) ||
            (team.gpusMax > 0 && used.gpus > team.gpusMax + 1e-6))
            breach("quota", team.name + " with " + name);
    }
}

void Checker::ended(const std::string& id, std::uint32_t task, const std::string& machine,
                    bool completed, Time at) {
    JobTruth& job = jobs_[id];
    job.on[task].erase(machine);
    if (!completed) return;
    job.done.insert(task);
    if (truthDone(id) && !job.doneAt) job.doneAt = at;
}

std::vector<const Checker::JobTruth*> Checker::ancestors(const JobTruth& job) const {
    std::vector<const JobTruth*> found;
    std::set<std::string> seen;
    std::vector<const JobTruth*> open{&job};
    while (!open.empty()) {
        const JobTruth& next = *open.back();
        open.pop_back();
        for (const auto& id : next.spec.dependencies) {
            const auto truth = jobs_.find(id);
            if (truth == jobs_.end() || !seen.insert(id).second) continue;
            found.push_back(&truth->second);
            open.push_back(&truth->second);
        }
    }
    return found;
}

std::optional<Time> Checker::readyAt(const JobTruth& job) const {
    Time ready = job.submittedAt;
    for (const auto& id : job.spec.dependencies) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() || !found->second.doneAt) return std::nullopt;
        ready = std::max(ready, *found->second.doneAt);
    }
    return ready;
}

void Checker::checkOrphaned(const std::string& id, const JobTruth& job, Time given) {
    for (const auto* ancestor : ancestors(job))
        if (ancestor->final == "cancelled" && given > ancestor->cancelledAt + cancelLimit_)
            return breach("orphaned", id + " although " + ancestor->spec.id + " is cancelled");
}

void Checker::answered(const std::string& machine, const std::string& node,
                       std::uint64_t fencingToken) {
    const auto& leader = tokens_.try_emplace({machine, fencingToken}, node).first->second;
    if (leader != node)
        breach("two_owners",
               fmt::format("{} by {} and {} with token {}", machine, leader, node, fencingToken));
}

void Checker::changedHands(const std::string& job, std::uint32_t task, const std::string&,
                           Time at) {
    handedOver_[{job, task}] = at;
}

void Checker::disturbed(const std::string& id, std::uint32_t task, const std::string& machine,
                        const std::string& why, Time at) {
    const auto moved = handedOver_.find({id, task});
    if (!watchesMoves_ || moved == handedOver_.end() || jobs_[id].cancelAsked ||
        at - moved->second > disturbance)
        return;
    breach("disturbed", fmt::format("{}/{} on {} {:.1f} s after it changed hands: {}", id, task,
                                    machine, (at - moved->second).count(), why));
}

void Checker::checkPartlyPlaced(const std::string& id, JobTruth& job, Time at) {
    if (job.spec.kind != protocol::JobKind::gang) return;
    const auto placed = static_cast<std::uint32_t>(std::count_if(
        job.on.begin(), job.on.end(), [](const auto& entry) { return !entry.second.empty(); }));
    if (placed == 0 || placed == job.spec.tasks || at < quietSince_) return job.partlySince.reset();
    if (!job.partlySince) job.partlySince = at;
    if (at - *job.partlySince <= longestPartly) return;
    breach("partly_placed", fmt::format("{}: {} of {} tasks", id, placed, job.spec.tasks));
    job.partlySince = at;
}

void Checker::tick(Time at) {
    for (auto& [id, job] : jobs_) {
        checkPartlyPlaced(id, job, at);
        if (job.final != "cancelled" || at <= job.cancelledAt + cancelLimit_) continue;
        for (const auto& [task, places] : job.on)
            if (!places.empty())
                breach("ran_cancelled", id + "/" + std::to_string(task) + " still there");
        job.on.clear();
    }
}

void Checker::placed(const std::string& job, std::uint32_t task, const std::string& machine,
                     bool claimed, Time allowance, Time at) {
    const auto name = job + "/" + std::to_string(task) + " on " + machine;
    if (claimed) {
        unclaimedSince_.erase(name);
        return;
    }
    auto& since = unclaimedSince_.try_emplace(name, at).first->second;
    since = std::max(since, quietSince_);
    if (at - since <= allowance) return;
    breach("orphaned", name + " runs without a claim");
    since = at;
}

void Checker::waiting(const std::string& id, bool couldStart, Time at) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.accepted) return;
    JobTruth& job = found->second;
    if (!couldStart || job.cancelAsked) return job.waitsSince.reset();
    const auto since = std::max(job.waitsSince.value_or(at), quietSince_);
    job.waitsSince = since;
    if (at - since <= longestWait) return;
    breach("left_waiting", id + " although there is room for it");
    job.waitsSince = at;
}

bool Checker::truthDone(const std::string& id) const {
    const auto found = jobs_.find(id);
    return found != jobs_.end() && found->second.done.size() == found->second.spec.tasks;
}

void Checker::told(const std::string& id, const std::string& state, Time at, Time given) {
    if (bad_.contains(id)) return breach("accepted_bad", id + " is called " + state);
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.spec.tasks == 0)
        return breach("invented", id + " is called " + state);
    JobTruth& job = found->second;
    job.accepted = true;
    job.answeredAt = at;
    if (state == "done" && job.done.size() < job.spec.tasks)
        breach("not_done", id + " with " + std::to_string(job.done.size()) + " tasks done");
    if (!job.final.empty() && state != job.final && given >= job.cancelledAt)
        breach("went_back", id + " was " + job.final + ", is " + state);
    if (state == "cancelled" && !job.cancelAsked) {
        const auto above = ancestors(job);
        if (std::none_of(above.begin(), above.end(), [](const JobTruth* ancestor) {
                return ancestor->cancelAsked && ancestor->final != "done";
            }))
            breach("went_back", id + " cancelled unasked");
    }
    if (state != "done" && state != "cancelled") checkOrphaned(id, job, given);
    if (job.final.empty() && (state == "done" || state == "cancelled")) {
        job.final = state;
        job.cancelledAt = at;
    }
}

void Checker::toldUnknown(const std::string& id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.accepted) breach("forgotten", id + " got 404");
}

void Checker::toldInvalid(const std::string& id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.accepted)
        breach("forgotten", id + " was refused when submitted again");
}

void Checker::pollFailed(const std::string& id, Time at) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.accepted) return;
    if (at - std::max(found->second.answeredAt, quietSince_) > longestSilence) {
        breach("forgotten", id + " got no answer for long");
        found->second.answeredAt = at;
    }
}

void Checker::finish(Time at) {
    std::map<std::string, Served> groups;
    std::map<std::string, std::uint32_t> largest;
    const auto counts = [&](const JobTruth& job) {
        const auto ready = readyAt(job);
        const auto above = ancestors(job);
        // Whose dependency was called off as its last task ended is called off with it.
        const bool startsAfter =
            std::any_of(above.begin(), above.end(),
                        [](const JobTruth* ancestor) { return ancestor->final == "cancelled"; });
        return job.accepted && !job.cancelAsked && !startsAfter && ready &&
               *ready + latestBegin <= at;
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
            if (job.begunAt) ++groups[group].served;
        }
        if (spec.tasks < largest[spec.jobClass]) continue;
        auto& group = groups["the largest of class " + spec.jobClass];
        ++group.jobs;
        if (job.begunAt && *job.begunAt <= *readyAt(job) + latestBegin) ++group.served;
    }
    for (const auto& [name, group] : groups)
        if (group.served * 2 < group.jobs)
            breach("unserved", name + ": " + std::to_string(group.served) + " of " +
                                   std::to_string(group.jobs));
}

}  // namespace fawnwheel::sim
