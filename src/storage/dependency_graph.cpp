#include "storage/dependency_graph.h"

#include <algorithm>

namespace fawnwheel::storage {

bool DependencyGraph::isCancelled(const Job& job) {
    return job.cancelled || job.knownCancelled || job.dependencyCancelled;
}

const std::vector<std::string>& DependencyGraph::dependents(const std::string& job) const {
    static const std::vector<std::string> none;
    const auto found = dependents_.find(job);
    return found == dependents_.end() ? none : found->second;
}

void DependencyGraph::add(Job& job) {
    const auto& id = job.spec.id;
    job.priority = job.spec.priority;
    job.latestEnd.reset();
    job.dependencyCancelled = false;
    unresolved_.erase(id);
    for (const auto& dependency : job.spec.dependencies) dependents_[dependency].push_back(id);
    resolve(job);
    static_cast<void>(collectDemand(job));
    propagateDemand(job);
    // Records are read in the order of their names, so that dependents may have been added first.
    if (isCancelled(job)) cancelDependents(id);
}

void DependencyGraph::remove(const Job& job) {
    const auto& id = job.spec.id;
    for (const auto& dependency : job.spec.dependencies) {
        const auto found = dependents_.find(dependency);
        if (found == dependents_.end()) continue;
        std::erase(found->second, id);
        if (!found->second.empty()) continue;
        dependents_.erase(found);
        terminals_.erase(dependency);
        unresolved_.erase(dependency);
    }
    if (dependents_.contains(id) && !terminals_.contains(id)) unresolved_.insert(id);
}

void DependencyGraph::onCancelled(Job& job) {
    job.knownCancelled = true;
    cancelDependents(job.spec.id);
    propagateDemand(job);
}

void DependencyGraph::recordTerminal(const std::string& job, const TerminalState& state) {
    if (!dependents_.contains(job) || !terminals_.emplace(job, state).second) return;
    unresolved_.erase(job);
    for (const auto& id : std::vector(dependents(job))) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() || !resolve(found->second)) continue;
        cancelDependents(id);
        propagateDemand(found->second);
    }
}

void DependencyGraph::clear() {
    dependents_.clear();
    unresolved_.clear();
}

void DependencyGraph::prune() {
    std::erase_if(terminals_,
                  [this](const auto& entry) { return !dependents_.contains(entry.first); });
}

bool DependencyGraph::resolve(Job& job) {
    job.blockedOnDependencies = false;
    job.readySince = job.submitted;
    bool dependencyCancelled = false;
    for (const auto& dependency : job.spec.dependencies) {
        if (const auto terminal = terminals_.find(dependency); terminal != terminals_.end()) {
            if (terminal->second.cancelled) job.blockedOnDependencies = dependencyCancelled = true;
            if (terminal->second.at)
                job.readySince = std::max(job.readySince, *terminal->second.at);
            continue;
        }
        job.blockedOnDependencies = true;
        const auto activeJob = jobs_.find(dependency);
        if (activeJob == jobs_.end())
            unresolved_.insert(dependency);
        else
            dependencyCancelled = dependencyCancelled || isCancelled(activeJob->second);
    }
    const bool newlyCancelled = dependencyCancelled && !job.dependencyCancelled;
    job.dependencyCancelled = job.dependencyCancelled || dependencyCancelled;
    return newlyCancelled;
}

void DependencyGraph::cancelDependents(const std::string& job) {
    std::vector<std::string> pending{job};
    while (!pending.empty()) {
        const auto next = std::move(pending.back());
        pending.pop_back();
        for (const auto& id : dependents(next)) {
            const auto found = jobs_.find(id);
            if (found == jobs_.end() || found->second.dependencyCancelled) continue;
            found->second.dependencyCancelled = true;
            pending.push_back(id);
        }
    }
}

void DependencyGraph::mergeDemand(Demand& total, const Demand& more) {
    total.priority = std::min(total.priority, more.priority);
    if (more.latestEnd)
        total.latestEnd =
            total.latestEnd ? std::min(*total.latestEnd, *more.latestEnd) : *more.latestEnd;
}

DependencyGraph::Demand DependencyGraph::demandFrom(const Job& dependent) const {
    Demand demand = storedDemand(dependent);
    if (dependent.spec.deadline)
        mergeDemand(demand, {demand.priority,
                             dependent.submitted + std::chrono::duration_cast<WallTime::duration>(
                                                       *dependent.spec.deadline)});
    if (demand.latestEnd)
        *demand.latestEnd -=
            std::chrono::duration_cast<WallTime::duration>(estimateTurnaround_(dependent.spec));
    return demand;
}

bool DependencyGraph::collectDemand(Job& job) const {
    Demand total{job.spec.priority, std::nullopt};
    for (const auto& id : dependents(job.spec.id)) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end() && !isCancelled(found->second))
            mergeDemand(total, demandFrom(found->second));
    }
    if (total == storedDemand(job)) return false;
    job.priority = total.priority;
    job.latestEnd = total.latestEnd;
    return true;
}

void DependencyGraph::propagateDemand(const Job& job) {
    std::vector<const Job*> pending{&job};
    while (!pending.empty()) {
        const Job& next = *pending.back();
        pending.pop_back();
        for (const auto& dependency : next.spec.dependencies) {
            const auto found = jobs_.find(dependency);
            if (found != jobs_.end() && collectDemand(found->second))
                pending.push_back(&found->second);
        }
    }
}

}  // namespace fawnwheel::storage
