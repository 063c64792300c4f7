// The stand-ins for users: what they ask, and what they count.
#include <algorithm>

#include "sim/world_parts.h"

namespace fawnwheel::sim {

namespace {

constexpr Time pollPeriod{5.0};
constexpr Time acceptancePause{0.05};  // between looks whether a job has been accepted

}  // namespace

int World::someNode() {
    std::vector<int> alive;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodeUp(i) && (spec_.outside != nullptr || nodes_[i]->controller->healthy()))
            alive.push_back(static_cast<int>(i));
    if (alive.empty()) return std::uniform_int_distribution<>(0, spec_.nodes - 1)(rng_);
    return alive[std::uniform_int_distribution<std::size_t>(0, alive.size() - 1)(rng_)];
}

void World::submit(const protocol::JobSpec& spec, Time runs, bool faulty) {
    Truth& truth = truths_[spec.id];
    truth.spec = spec;
    truth.runs = runs;
    truth.faulty = faulty;
    truth.submitted = true;
    checker_.submitted(spec, now_);
    submitWhenNamed(spec.id);
}

void World::submitWhenNamed(const std::string& id) {
    // A user names only jobs that were accepted.
    const auto& dependencies = truths_[id].spec.dependencies;
    const bool accepted = std::all_of(dependencies.begin(), dependencies.end(),
                                      [this](const auto& p) { return !truths_[p].told.empty(); });
    if (accepted) return sendSubmit(id, now_);
    at(now_ + acceptancePause, [this, id] { submitWhenNamed(id); });
}

void World::sendSubmit(const std::string& id, Time first) {
    if (now_ - first > Time(60)) return;
    request(
        "users", nodes_[static_cast<std::size_t>(someNode())]->name,
        {"POST", wire::pathJobs, protocol::encodeCbor(protocol::encodeJobSpec(truths_[id].spec))},
        Time(5), [this, id, first](const std::optional<HttpResponse>& response) {
            if (response && (response->status == 400 || response->status == 422))
                return checker_.toldInvalid(id);
            const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
            if (!response || response->status / 100 != 2 || !body) {
                at(now_ + Time(1), [this, id, first] { sendSubmit(id, first); });
                return;
            }
            recordTold(id, protocol::textOf(*body, wire::state));
            poll(id);
        });
}

void World::post(const Json& body, std::function<void(int status, std::string state)> done) {
    request("users", nodes_[static_cast<std::size_t>(someNode())]->name,
            {"POST", wire::pathJobs, protocol::encodeCbor(body)}, Time(5),
            [done = std::move(done)](const std::optional<HttpResponse>& response) {
                const auto answered =
                    response ? protocol::decodeCbor(response->body) : std::nullopt;
                done(response ? response->status : 0,
                     answered ? protocol::textOf(*answered, wire::state) : std::string());
            });
}

void World::recordTold(const std::string& id, const std::string& state) {
    truths_[id].told = state;
    truths_[id].firstTold.try_emplace(state, now_);
    checker_.told(id, state, now_, givenAt_);
}

std::optional<Time> World::firstTold(const std::string& job, const std::string& state) const {
    const auto truth = truths_.find(job);
    if (truth == truths_.end()) return std::nullopt;
    const auto found = truth->second.firstTold.find(state);
    return found == truth->second.firstTold.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> World::unfinished() const {
    std::vector<std::string> jobs;
    for (const auto& [id, truth] : truths_)
        if (truth.told != wire::stateDone && truth.told != wire::stateCancelled) jobs.push_back(id);
    return jobs;
}

void World::poll(const std::string& id) {
    at(now_ + (now_ < stormUntil_ ? pollPeriod / stormFactor_ : pollPeriod), [this, id] {
        getStatus(id);
        poll(id);
    });
}

void World::getStatus(const std::string& id) {
    request("users", nodes_[static_cast<std::size_t>(someNode())]->name,
            {"GET", std::string(wire::pathJobs) + "/" + id, {}}, Time(2),
            [this, id](const std::optional<HttpResponse>& response) {
                if (response && response->status == 404) return checker_.toldUnknown(id);
                const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
                if (!response || response->status != 200 || !body)
                    return checker_.pollFailed(id, now_);
                recordTold(id, protocol::textOf(*body, wire::state));
            });
    checker_.tick(now_);
}

void World::cancel(const std::string& id) {
    checker_.askedToCancel(id);
    request("users", nodes_[static_cast<std::size_t>(someNode())]->name,
            {"POST", std::string(wire::pathJobs) + "/" + id + wire::pathCancel, {}}, Time(5),
            [this, id](const std::optional<HttpResponse>& response) {
                const auto body = response ? protocol::decodeCbor(response->body) : std::nullopt;
                if (!response || response->status != 200 || !body) {
                    at(now_ + Time(1), [this, id] { cancel(id); });
                    return;
                }
                recordTold(id, protocol::textOf(*body, wire::state));
            });
}

void World::cancelRunning(int count, Time hangs) {
    int hung = 0;
    for (const auto& [id, truth] : truths_) {
        if (count == 0) break;
        const auto runs = [&id = id](const Task& task) { return task.job == id && task.placed; };
        std::vector<Worker*> places;
        for (const auto& [name, w] : workers_)
            if (!w->gone && std::any_of(w->tasks.begin(), w->tasks.end(), runs))
                places.push_back(w.get());
        if (places.empty()) continue;
        --count;
        at(now_ + Time(std::uniform_real_distribution<>(0, 0.2)(rng_)),
           [this, id = id] { cancel(id); });
        if (hangs <= Time(0) || hung++ >= 8) continue;
        places.front()->hangsUntil = now_ + hangs;
        checker_.troubledUntil(now_ + hangs);
    }
}

void World::oddRequests(Time length) {
    oddUntil_ = std::max(oddUntil_, now_ + length);
    if (truths_.empty()) return;
    const auto& [id, truth] =
        *std::next(truths_.begin(), static_cast<std::ptrdiff_t>(rng_() % truths_.size()));
    if (truth.told == "done") {
        cancel(id);
    } else if (!truth.told.empty()) {
        sendSubmit(id, now_);
    }
    auto spec = truth.spec;
    spec.id = "run-odd-" + std::to_string(oddJobs_++);
    auto body = protocol::encodeJobSpec(spec);
    switch (oddJobs_ % 3) {
        case 0:
            // Any of those that may be neither null nor absent.
            for (const auto* field : {wire::types, wire::zone, wire::deadline}) body.erase(field);
            body.erase(std::next(body.begin(), static_cast<std::ptrdiff_t>(rng_() % body.size())));
            break;
        case 1:
            body[wire::cpus] = 100'000.0;
            break;
        default:
            body[wire::tasks] = "three";
    }
    sendBad(spec.id, body);
    if (now_ + Time(1) < oddUntil_) at(now_ + Time(1), [this] { oddRequests(oddUntil_ - now_); });
}

void World::sendBad(const std::string& id, const Json& body) {
    checker_.submittedBad(id);
    request("users", nodes_[static_cast<std::size_t>(someNode())]->name,
            {"POST", wire::pathJobs, protocol::encodeCbor(body)}, Time(5),
            [this, id](const std::optional<HttpResponse>& response) {
                if (response && response->status / 100 == 2) checker_.told(id, "pending", now_);
            });
}

// What users count: a job that waits although a machine that fits has room.
void World::watchWaiting() {
    for (const auto& [id, truth] : truths_)
        if (truth.submitted) checker_.waiting(id, couldStart(id), now_);
    at(now_ + Time(5), [this] { watchWaiting(); });
}

bool World::couldStart(const std::string& id) {
    const Truth& truth = truths_[id];
    const auto& spec = truth.spec;
    if (truth.faulty || truth.told == "done" || truth.told == "cancelled") return false;
    for (const auto& dependency : spec.dependencies)
        if (!checker_.truthDone(dependency)) return false;
    std::set<std::uint32_t> placed = truth.done;
    protocol::Resources team;
    std::map<std::string, std::uint32_t> places;  // by zone
    const bool gang = spec.kind == protocol::JobKind::gang;
    for (const auto& [name, w] : workers_) {
        if (!w->up || w->gone) continue;
        const auto type = std::find_if(spec_.types.begin(), spec_.types.end(),
                                       [&w = w](const auto& t) { return t.type.name == w->type; });
        auto room = type->type.capacity;
        for (const auto& task : w->tasks) {
            if (task.state == wire::stateExited) continue;
            room -= truths_[task.job].spec.taskResources;
            if (truths_[task.job].spec.team == spec.team)
                team += truths_[task.job].spec.taskResources;
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
    // Spread jobs and arrays of one zone that have begun are bound by where their tasks are.
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

std::string World::lastTold(const std::string& job) const {
    const auto found = truths_.find(job);
    return found == truths_.end() ? std::string() : found->second.told;
}

}  // namespace fawnwheel::sim
