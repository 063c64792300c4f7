// A simulation spec with one zone and a type of small machines, and a one-task job for it.
#pragma once

#include "sim/simulation.h"

namespace fawnwheel::sim {

inline SimulationSpec smallSimulationSpec() {
    SimulationSpec spec;
    TypeSpec type;
    type.type.name = "small";
    type.type.capacity = {8, 0, 32};
    type.type.cacheSize = 50;
    type.type.fetchRate = 1;
    spec.types.push_back(type);
    spec.zones = {"a"};
    return spec;
}

inline protocol::JobSpec smallJob(const std::string& id) {
    protocol::JobSpec job;
    job.id = id;
    job.jobClass = "test";
    job.team = "crew";
    job.tasks = 1;
    job.taskResources = {1, 0, 1};
    job.image = "img";
    job.estimate = Time(5);
    return job;
}

}  // namespace fawnwheel::sim
