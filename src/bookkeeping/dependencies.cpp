#include "bookkeeping/dependencies.h"

#include <algorithm>

namespace fawnwheel::bookkeeping {

bool Dependencies::stopped(const Job& job) {
    return job.cancelled || job.knownCancelled || job.doomed;
}

const std::vector<std::string>& Dependencies::successors(const std::string& job) const {
    static const std::vector<std::string> none;
    const auto found = successors_.find(job);
    return found == successors_.end() ? none : found->second;
}

void Dependencies::add(Job& job) {
    const auto& id = job.spec.id;
    job.priority = job.spec.priority;
    job.latestEnd.reset();
    job.doomed = false;
    unresolved_.erase(id);
    for (const auto& predecessor : job.spec.predecessors) successors_[predecessor].push_back(id);
    resolve(job);
    collectDemand(job);
    passOnDemand(job);
    // Records are read in the order of their names: a successor may have come first.
    if (stopped(job)) doomSuccessors(id);
}

void Dependencies::remove(const Job& job) {
    const auto& id = job.spec.id;
    for (const auto& predecessor : job.spec.predecessors) {
        const auto found = successors_.find(predecessor);
        if (found == successors_.end()) continue;
        std::erase(found->second, id);
        if (!found->second.empty()) continue;
        successors_.erase(found);
        terminals_.erase(predecessor);
        unresolved_.erase(predecessor);
    }
    if (successors_.contains(id) && !terminals_.contains(id)) unresolved_.insert(id);
}

void Dependencies::onCancelled(Job& job) {
    job.knownCancelled = true;
    doomSuccessors(job.spec.id);
    passOnDemand(job);
}

void Dependencies::recordTerminal(const std::string& job, const TerminalState& state) {
    if (!successors_.contains(job) || !terminals_.emplace(job, state).second) return;
    unresolved_.erase(job);
    for (const auto& id : std::vector(successors(job))) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() || !resolve(found->second)) continue;
        doomSuccessors(id);
        passOnDemand(found->second);
    }
}

void Dependencies::clear() {
    successors_.clear();
    unresolved_.clear();
}

void Dependencies::prune() {
    std::erase_if(terminals_,
                  [this](const auto& entry) { return !successors_.contains(entry.first); });
}

bool Dependencies::resolve(Job& job) {
    job.waiting = false;
    job.readySince = job.submitted;
    bool doomed = false;
    for (const auto& predecessor : job.spec.predecessors) {
        if (const auto final = terminals_.find(predecessor); final != terminals_.end()) {
            if (final->second.cancelled) job.waiting = doomed = true;
            if (final->second.at) job.readySince = std::max(job.readySince, *final->second.at);
            continue;
        }
        job.waiting = true;
        const auto live = jobs_.find(predecessor);
        if (live == jobs_.end())
            unresolved_.insert(predecessor);
        else
            doomed = doomed || stopped(live->second);
    }
    const bool fresh = doomed && !job.doomed;
    job.doomed = job.doomed || doomed;
    return fresh;
}

void Dependencies::doomSuccessors(const std::string& job) {
    std::vector<std::string> open{job};
    while (!open.empty()) {
        const auto next = std::move(open.back());
        open.pop_back();
        for (const auto& id : successors(next)) {
            const auto found = jobs_.find(id);
            if (found == jobs_.end() || found->second.doomed) continue;
            found->second.doomed = true;
            open.push_back(id);
        }
    }
}

void Dependencies::add(Demand& total, const Demand& more) {
    total.priority = std::min(total.priority, more.priority);
    if (more.latestEnd)
        total.latestEnd =
            total.latestEnd ? std::min(*total.latestEnd, *more.latestEnd) : *more.latestEnd;
}

Dependencies::Demand Dependencies::demandOf(const Job& successor) const {
    Demand demand = demandOn(successor);
    if (successor.spec.deadline)
        add(demand, {demand.priority,
                     successor.submitted +
                         std::chrono::duration_cast<WallTime::duration>(*successor.spec.deadline)});
    if (demand.latestEnd)
        *demand.latestEnd -=
            std::chrono::duration_cast<WallTime::duration>(stepTime(successor.spec));
    return demand;
}

bool Dependencies::collectDemand(Job& job) const {
    Demand total{job.spec.priority, std::nullopt};
    for (const auto& id : successors(job.spec.id)) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end() && !stopped(found->second)) add(total, demandOf(found->second));
    }
    if (total == demandOn(job)) return false;
    job.priority = total.priority;
    job.latestEnd = total.latestEnd;
    return true;
}

void Dependencies::passOnDemand(const Job& job) {
    std::vector<const Job*> open{&job};
    while (!open.empty()) {
        const Job& next = *open.back();
        open.pop_back();
        for (const auto& predecessor : next.spec.predecessors) {
            const auto found = jobs_.find(predecessor);
            if (found != jobs_.end() && collectDemand(found->second))
                open.push_back(&found->second);
        }
    }
}

}  // namespace fawnwheel::bookkeeping
