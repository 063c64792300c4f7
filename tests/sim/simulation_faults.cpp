// Random fault injection; faults may overlap.
#include "sim/simulation_internal.h"

namespace fawnwheel::sim {

namespace {

constexpr double fractionOfMachines = 0.2;
constexpr double fractionOfLease = 0.6;

}  // namespace

void Simulation::injectRandomFaults(int count, Time length) {
    for (int i = 0; i < count; ++i)
        at(now_ + length * std::uniform_real_distribution<>(0, 1)(rng_),
           [this] { injectRandomFault(); });
}

void Simulation::injectRandomFault() {
    const auto between = [this](double least, double most) {
        return Time(std::uniform_real_distribution<>(least, most)(rng_));
    };
    const auto node = std::uniform_int_distribution<>(0, spec_.nodes - 1)(rng_);
    const auto zone = [&] {
        return spec_
            .zones[std::uniform_int_distribution<std::size_t>(0, spec_.zones.size() - 1)(rng_)];
    };
    const bool delayed = std::bernoulli_distribution(0.5)(rng_);
    switch (std::uniform_int_distribution<>(0, 10)(rng_)) {
        case 0:
            return kill(node, between(0.1, 0.6));
        case 1:
            return kill(node, between(3, 12));
        case 2:
            return rejectStateRequests(node, between(5, 25));
        case 3:
            return stateOutage(between(5, spec_.cancel.count() * 1.2));
        case 4:
            return cutZone(zone(), between(5, spec_.lease.count() * 1.5), delayed);
        case 5:
            return isolateFromState(node, between(5, 30));
        case 6:
            return delayWrites(between(0.05, 0.3).count(), between(5, 30));
        case 7:
            return slowStateService(between(0.5, 4), between(5, 30));
        case 8:
            // The hang stays below the lease: a simulated worker that hangs past its lease keeps
            // its tasks until it resumes (docs/questions.md, 10).
            return cancelRunning(std::uniform_int_distribution<>(1, 12)(rng_),
                                 between(0, spec_.lease.count() * fractionOfLease));
        case 9:
            for (int other = 0; other < spec_.nodes; ++other)
                at(now_ + Time(6.0 * other), [this, other] { kill(other, Time(3)); });
            return;
        default:
            return injectRandomMachineFault();
    }
}

void Simulation::injectRandomMachineFault() {
    const Time length(std::uniform_real_distribution<>(5, spec_.lease.count() * 1.6)(rng_));
    const int kind = std::uniform_int_distribution<>(0, 3)(rng_);
    for (std::size_t machine = 0; machine < workers_.size(); ++machine) {
        if (!std::bernoulli_distribution(fractionOfMachines)(rng_)) continue;
        if (kind == 0) dropUpstream(machine, length);
        if (kind == 1) dropDownstream(machine, length);
        if (kind == 2) slowLinks(machine, Time(4), length);
        if (kind == 3 && std::bernoulli_distribution(fractionOfMachines)(rng_))
            failMachine(machine);
    }
}

}  // namespace fawnwheel::sim
