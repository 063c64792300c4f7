#include "world.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace world {

namespace {

constexpr double tickSeconds = 0.02;
constexpr std::size_t changesKept = 10'000;

std::map<std::string, std::string> queryOf(const std::string& path) {
    std::map<std::string, std::string> query;
    auto at = path.find('?');
    while (at != std::string::npos) {
        const auto next = path.find('&', at + 1);
        const auto part = path.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const auto equals = part.find('=');
        query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        at = next;
    }
    return query;
}

}  // namespace

std::string encode(const Json& value) {
    std::string out;
    Json::to_cbor(value, out);
    return out;
}

Json decode(const std::string& body) {
    Json value = Json::from_cbor(body, true, false);
    return value.is_object() ? value : Json::object();
}

Json jobSpec(const std::string& id, const std::string& gait, int tasks, double cores,
             double memory) {
    return {{"id", id},           {"herd", "work"},    {"keeper", "crew"}, {"gait", gait},
            {"rank", "standard"}, {"hooves", tasks},   {"cores", cores},   {"gpus", 0.0},
            {"mem_gb", memory},   {"coat", "img-01"},  {"image_gb", 1.0},  {"breeds", nullptr},
            {"meadow", nullptr},  {"together", false}, {"apart", false},   {"strays", false},
            {"stride_s", 10.0},   {"rest_s", 0.0},     {"cache_s", 0.0},   {"dusk_s", nullptr}};
}

// Workers.

Worker::Worker(World& w, std::string name, const MachineType& machineType, std::string where,
               bool isSpot)
    : world(w), id(std::move(name)), zone(std::move(where)), type(machineType), spot(isSpot) {
    address = world.net.listen([this](const net::Request& request, const net::Reply& reply) {
        if (gone || deaf) return;
        if (request.method == "GET" && request.path == "/inspect")
            return reply(200, encode(report(true)));
        if (request.path != "/orders") return reply(404, {});
        const Json body = decode(request.body);
        if (!body.contains("crook") || !body.contains("run")) return reply(400, {});
        const auto token = body["crook"].get<std::uint64_t>();
        if (token < crook || body["run"].get<std::uint64_t>() != run)
            return reply(409, encode(report(true)));
        const bool higher = token > crook;
        crook = token;
        execute(body.value("calls", Json::array()));
        if (higher && net::now() - tokenChangeAt_ >= world.deployment.lease / 2) {
            tokenChangeAt_ = net::now();
            changed();
        }
        reply(200, encode(report(true)));
    });
}

void Worker::begin() {
    renewedAt_ = net::now();
    node = static_cast<int>(world.uniform(0, static_cast<double>(world.nodeCount()) - 0.001));
    schedule(world.uniform(0, world.deployment.report));
}

void Worker::schedule(double seconds) {
    const auto number = ++schedules_;
    dueAt = net::now() + seconds;
    world.net.after(seconds, [this, number] {
        if (number == schedules_ && !inFlight_ && !gone) send();
    });
}

void Worker::changed() {
    if (inFlight_) return;  // looked at when the answer is there
    schedule(std::max(0.0, lastSent_ + 0.5 - net::now()));
}

std::string Worker::hoof(const Task& task) const {
    return task.job + "/" + std::to_string(task.index);
}

Json Worker::report(bool count) {
    if (count) ++tick;
    Json list = Json::array();
    for (const auto& task : tasks) {
        Json entry{{"hoof", hoof(task)}, {"leap", task.attempt}, {"stance", task.stance}};
        if (task.stance == "ended") entry["cause"] = task.cause;
        if (task.kept) entry["kept"] = true;
        list.push_back(std::move(entry));
    }
    return {{"spoke", id},          {"address", address},
            {"breed", type.name},   {"meadow", zone},
            {"strays", spot},       {"run", run},
            {"tick", tick},         {"crook", crook},
            {"warning_s", nullptr}, {"hooves", std::move(list)}};
}

void Worker::send() {
    inFlight_ = true;
    const double sentAt = lastSent_ = net::now();
    const Json body = report(true);
    const int to = node;
    const auto sentRun = run;
    const auto tasksBefore = body["hooves"];
    if (world.onReportSent) world.onReportSent(*this, body, to);
    world.net.call(world.front(to), {"POST", "/v1/report", encode(body)}, 4.0,
                   [this, to, sentAt, sentRun, tasksBefore](int status, const std::string& text) {
                       if (gone) return;
                       inFlight_ = false;
                       answered(to, sentAt, sentRun, status, decode(text));
                       const double regular = world.deployment.report * world.uniform(0.75, 1.25);
                       if (status == 200) {
                           const bool change = report(false)["hooves"] != tasksBefore ||
                                               tokenChangeAt_ > sentAt || run != sentRun;
                           schedule(std::max(0.0, sentAt + (change ? 0.5 : regular) - net::now()));
                       }
                   });
}

void Worker::answered(int to, double sentAt, std::uint64_t sentRun, int status, const Json& body) {
    if (status == 421 && body.contains("herder")) {
        for (int i = 0; i < world.nodeCount(); ++i)
            if (world.nodeName(i) == body["herder"] && i != to) {
                node = i;
                return schedule(world.uniform(0, 0.5));
            }
    }
    if (status != 200) {
        node = (to + 1) % world.nodeCount();
        return schedule(1.0);
    }
    if (sentRun != run || !body.contains("crook")) return;
    const auto token = body["crook"].get<std::uint64_t>();
    if (token < crook) return;
    if (token > crook && net::now() - tokenChangeAt_ >= world.deployment.lease / 2)
        tokenChangeAt_ = net::now();
    crook = token;
    renewedAt_ = std::max(renewedAt_, sentAt);
    lastAnsweredBy = to;
    if (world.onReportAnswered) world.onReportAnswered(*this, to);
    execute(body.value("calls", Json::array()));
}

void Worker::checkLease() {
    if (gone || net::now() - renewedAt_ <= world.deployment.lease) return;
    world.log(id + " lease over, session " + std::to_string(run) + " ends");
    while (!tasks.empty()) {
        remove(tasks.front(), "lease");
        tasks.pop_front();
    }
    ++run;
    renewedAt_ = net::now();
    changed();
}

Task* Worker::find(const std::string& job, std::uint32_t index, std::uint64_t attempt) {
    for (auto& task : tasks)
        if (task.job == job && task.index == index && task.attempt == attempt) return &task;
    return nullptr;
}

Task* Worker::bySerial(std::uint64_t serial) {
    for (auto& task : tasks)
        if (task.serial == serial) return &task;
    return nullptr;
}

void Worker::execute(const Json& calls) {
    bool change = false;
    for (const auto& call : calls) {
        const std::string word = call.value("call", "");
        const std::string name = call.value("hoof", "");
        const auto slash = name.rfind('/');
        const std::string job = name.substr(0, slash);
        const auto index = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
        const auto attempt = call.value("leap", std::uint64_t{0});
        world.log(id + " told: " + word + " " + name + " leap " + std::to_string(attempt));
        Task* task = find(job, index, attempt);
        if (word == "launch" && task == nullptr) {
            launch(job, index, attempt);
            change = true;
        } else if (word == "stop" && task != nullptr && task->stance != "ended") {
            stop(*task, call.value("slack_s", 0.0));
            change = true;
        } else if (word == "forget" && task != nullptr && task->stance == "ended") {
            tasks.remove_if([task](const Task& other) { return &other == task; });
        }
    }
    if (change) changed();
}

bool Worker::fits(const Json& spec) const {
    double cores = type.cores, gpus = type.gpus, memory = type.memory;
    for (const auto& task : tasks) {
        if (task.stance == "ended") continue;
        const auto& other = world.jobs.at(task.job).spec;
        cores -= other["cores"].get<double>();
        gpus -= other["gpus"].get<double>();
        memory -= other["mem_gb"].get<double>();
    }
    return spec["cores"].get<double>() <= cores + 1e-6 &&
           spec["gpus"].get<double>() <= gpus + 1e-6 &&
           spec["mem_gb"].get<double>() <= memory + 1e-6;
}

void Worker::launch(const std::string& job, std::uint32_t index, std::uint64_t attempt) {
    Task task;
    task.job = job;
    task.index = index;
    task.attempt = attempt;
    task.serial = world.nextSerial();
    const auto known = world.jobs.find(job);
    const bool duplicate = std::any_of(tasks.begin(), tasks.end(), [&](const Task& other) {
        return other.job == job && other.index == index && other.stance != "ended";
    });
    if (known == world.jobs.end())
        task.cause = "unknown";
    else if (duplicate)
        task.cause = "in_use";
    else if (!fits(known->second.spec))
        task.cause = "full";
    if (!task.cause.empty()) {
        task.stance = "ended";
        tasks.push_back(std::move(task));
        return;
    }
    const std::string image = known->second.spec["coat"];
    double wait = 0;
    if (!images.contains(image))
        wait = world.pullSeconds
                   ? world.pullSeconds(*this, job, index)
                   : known->second.spec["image_gb"].get<double>() / type.pullGbPerSecond;
    const auto serial = task.serial;
    tasks.push_back(std::move(task));
    world.net.after(wait, [this, serial] { imageReady(serial); });
}

void Worker::imageReady(std::uint64_t serial) {
    Task* task = bySerial(serial);
    if (gone || task == nullptr || task->stance != "pulling") return;
    const JobInfo& info = world.jobs.at(task->job);
    images.insert(info.spec["coat"].get<std::string>());
    world.taskOnMachine(*this, *task);
    if (info.spec["gait"] == "gang" && info.spec["hooves"].get<int>() > 1) {
        task->stance = "gathering";
        world.net.after(world.deployment.gangWait, [this, serial] {
            Task* waiting = bySerial(serial);
            if (gone || waiting == nullptr || waiting->stance != "gathering") return;
            remove(*waiting, "incomplete");
            changed();
        });
        world.gangGathered(task->job, task->attempt);
    } else {
        task->stance = "running";
        if (info.spec["gait"] != "daemon")
            world.net.after(info.runs, [this, serial] {
                Task* running = bySerial(serial);
                if (gone || running == nullptr || running->stance != "running") return;
                remove(*running, world.jobs.at(running->job).broken ? "error" : "done");
                changed();
            });
    }
    changed();
}

void Worker::stop(Task& task, double slack) {
    const auto& spec = world.jobs.at(task.job).spec;
    const double save = spec["cache_s"].get<double>();
    if (task.stance == "running" && spec["rest_s"].get<double>() > 0 && slack >= save &&
        spec["gait"] != "gang") {
        task.stance = "saving";
        const auto serial = task.serial;
        world.net.after(save, [this, serial] {
            Task* saving = bySerial(serial);
            if (gone || saving == nullptr || saving->stance != "saving") return;
            saving->kept = true;
            remove(*saving, "halted");
            changed();
        });
        return;
    }
    remove(task, "halted");
}

// The task exits or is killed; its entry stays.
void Worker::remove(Task& task, const std::string& cause) {
    const bool wasRunning = task.stance == "running";
    const bool gang = world.jobs.at(task.job).spec["gait"] == "gang" &&
                      world.jobs.at(task.job).spec["hooves"].get<int>() > 1;
    task.stance = "ended";
    task.cause = cause;
    world.log(id + " ends " + hoof(task) + " leap " + std::to_string(task.attempt) + ": " + cause);
    world.taskOffMachine(*this, task);
    if (gang && wasRunning && cause != "done" && cause != "mates_gone")
        world.gangLost(task.job, task.attempt);
}

// The world.

World::World(Deployment d, std::string daemon, std::string recordFile)
    : deployment(std::move(d)), daemon_(std::move(daemon)), record_(recordFile) {
    std::string directory = (std::filesystem::temp_directory_path() / "fawnwheel-XXXXXX").string();
    if (::mkdtemp(directory.data()) == nullptr) throw std::runtime_error("no temporary folder");
    directory_ = directory;
    requests_ = {deployment.stateRps, deployment.stateRps, net::now()};
    writes_ = {deployment.stateWriteRps, deployment.stateWriteRps, net::now()};
    cloudCalls_ = {deployment.cloudRps, 2 * deployment.cloudRps, net::now()};
    cloud_ = net.listen([this](const net::Request& request, const net::Reply& reply) {
        serveCloud(request, reply);
    });
    for (std::size_t i = 0; i < deployment.nodeZones.size(); ++i) {
        Node node;
        node.name = "spoke-" + std::to_string(i);
        node.zone = deployment.nodeZones[i];
        node.front = net::freeAddress();
        node.internal = net::freeAddress();
        const int index = static_cast<int>(i);
        node.state = net.listen([this, index](const net::Request& request, net::Reply reply) {
            serveState(index, request, std::move(reply));
        });
        node.settings = directory_ + "/" + node.name + ".json";
        nodes_.push_back(std::move(node));
    }
    for (const auto& node : nodes_) writeSettings(node);
    tick();
}

World::~World() {
    for (auto& node : nodes_)
        if (node.pid > 0) {
            ::kill(node.pid, SIGKILL);
            ::waitpid(node.pid, nullptr, 0);
        }
    std::filesystem::remove_all(directory_);
}

void World::writeSettings(const Node& node) const {
    Json others = Json::array();
    for (const auto& other : nodes_)
        if (other.name != node.name)
            others.push_back(
                {{"host_name", other.name}, {"area", other.zone}, {"address", other.internal}});
    const Json settings{
        {"host_name", node.name},
        {"area", node.zone},
        {"front", node.front},
        {"internal_addr", node.internal},
        {"others", others},
        {"outside", {{"cloud", cloud_}, {"state", node.state}}},
        {"deployment",
         {{"count", nodes_.size()},
          {"zones", deployment.zones},
          {"teams", deployment.teams},
          {"objectives", Json::array()},
          {"workers",
           {{"report_s", deployment.report},
            {"lease_s", deployment.lease},
            {"gang_wait_s", deployment.gangWait},
            {"gang_peer_s", deployment.gangPeer},
            {"cancel_s", deployment.cancel}}},
          {"state",
           {{"rps", deployment.stateRps},
            {"write_rps", deployment.stateWriteRps},
            {"value_kb", deployment.valueKb},
            {"txn_ops", deployment.txnOps}}},
          {"cloud", {{"rps", deployment.cloudRps}, {"list_lag_s", deployment.listLag}}},
          {"machine_limits",
           {{"core_share", 0.096},
            {"mem_mb", deployment.memoryMb},
            {"sockets", deployment.sockets}}},
          {"clock_off_ms", 25.0}}}};
    std::ofstream(node.settings) << settings.dump();
}

void World::startNode(int index) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    log("controller " + node.name + " started");
    const std::string logFile = directory_ + "/" + node.name + ".log";
    const pid_t parent = ::getpid();
    node.pid = ::fork();
    if (node.pid != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    const char* kept = std::getenv("CONTROLLER_LOGS");
    const std::string file =
        kept == nullptr ? logFile : std::string(kept) + "/" + node.name + ".log";
    const int out = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDERR_FILENO);
    ::execl(daemon_.c_str(), daemon_.c_str(), "--config", node.settings.c_str(), nullptr);
    ::_exit(127);
}

void World::signalNode(int index, int signal) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    log("controller " + node.name + " gets signal " + std::to_string(signal));
    if (node.pid <= 0) return;
    ::kill(node.pid, signal);
    if (signal != SIGKILL) return;
    ::waitpid(node.pid, nullptr, 0);
    node.pid = -1;
}

void World::whenHealthy(std::function<void()> then) {
    auto left = std::make_shared<int>(nodeCount());
    auto good = std::make_shared<int>(0);
    for (int i = 0; i < nodeCount(); ++i)
        net.call(front(i), {"GET", "/healthz", {}}, 1.0,
                 [this, left, good, then](int status, const std::string&) {
                     *good += status == 200 ? 1 : 0;
                     if (--*left > 0) return;
                     if (*good == nodeCount()) {
                         log("all controllers are healthy");
                         return then();
                     }
                     net.after(0.3, [this, then] { whenHealthy(then); });
                 });
}

Worker& World::addMachine(const std::string& type, const std::string& zone, bool spot, int number) {
    char id[16];
    std::snprintf(id, sizeof id, "m-%06d", number);
    const auto found = std::find_if(deployment.types.begin(), deployment.types.end(),
                                    [&](const auto& t) { return t.name == type; });
    auto& worker = workers[id] = std::make_unique<Worker>(*this, id, *found, zone, spot);
    worker->begin();
    return *worker;
}

void World::submit(int node, const Json& spec, double runs, net::Done done) {
    const std::string id = spec["id"];
    jobs.try_emplace(id, JobInfo{spec, runs});
    log("user submits " + id + " to " + nodeName(node));
    net.call(front(node), {"POST", "/api/jobs", encode(spec)}, 5.0,
             [this, id, done = std::move(done)](int status, const std::string& body) {
                 log("submission of " + id + " answered " + std::to_string(status) + " " +
                     decode(body).dump());
                 done(status, body);
             });
}

void World::submitUntilAccepted(int node, const Json& spec, double runs,
                                std::function<void()> accepted) {
    submit(node, spec, runs, [this, node, spec, runs, accepted](int status, const std::string&) {
        if (status == 200 || status == 201) return accepted();
        net.after(1.0, [this, node, spec, runs, accepted] {
            submitUntilAccepted(node, spec, runs, accepted);
        });
    });
}

void World::get(int node, const std::string& id, net::Done done) {
    net.call(front(node), {"GET", "/api/jobs/" + id, {}}, 2.0,
             [this, node, id, done = std::move(done)](int status, const std::string& body) {
                 log("poll of " + id + " at " + nodeName(node) + " answered " +
                     std::to_string(status) + " " + decode(body).dump());
                 done(status, body);
             });
}

void World::cancel(int node, const std::string& id, net::Done done) {
    log("user cancels " + id + " at " + nodeName(node));
    net.call(front(node), {"POST", "/api/jobs/" + id + "/cancel", {}}, 5.0,
             [this, id, done = std::move(done)](int status, const std::string& body) {
                 log("cancellation of " + id + " answered " + std::to_string(status) + " " +
                     decode(body).dump());
                 if (status == 200 && decode(body).value("stance", "") == "cancelled" &&
                     jobs[id].cancelToldAt < 0)
                     jobs[id].cancelToldAt = net::now();
                 done(status, body);
             });
}

void World::log(const std::string& text) {
    char time[24];
    std::snprintf(time, sizeof time, "%8.3f ", net::now());
    record_ << time << text << '\n' << std::flush;
}

void World::violated(const std::string& text) {
    log("BROKEN " + text);
    violations_.push_back(text);
}

void World::finish(std::optional<int> code) {
    code_ = code;
    net.stop();
}

int World::run() {
    net.run();
    const int result = code_ ? *code_ : broken() ? 1 : 0;
    log("result " + std::to_string(result));
    for (const auto& text : violations_) std::cout << "broken: " << text << '\n';
    std::cout << (result == 0 ? "held" : result == 1 ? "broken" : "could not run") << '\n';
    return result;
}

std::vector<Worker*> World::holdersOf(const std::string& job, std::uint32_t index) const {
    std::vector<Worker*> holders;
    for (const auto& [id, worker] : workers)
        for (const auto& task : worker->tasks)
            if (task.job == job && task.index == index && task.onMachine && !worker->gone)
                holders.push_back(worker.get());
    return holders;
}

void World::taskOnMachine(Worker& worker, Task& task) {
    log(worker.id + " has " + worker.hoof(task) + " leap " + std::to_string(task.attempt) +
        " on it");
    for (const auto* other : holdersOf(task.job, task.index))
        violated("ran_twice: " + worker.hoof(task) + " leap " + std::to_string(task.attempt) +
                 " starts on " + worker.id + " while it is on " + other->id);
    task.onMachine = true;
    if (onTaskOnMachine) onTaskOnMachine(worker, task);
}

void World::taskOffMachine(Worker& worker, Task& task) {
    if (!task.onMachine) return;
    task.onMachine = false;
    if (onTaskGone) onTaskGone(worker, task);
}

void World::gangGathered(const std::string& job, std::uint64_t attempt) {
    std::vector<std::pair<Worker*, Task*>> gathered;
    for (const auto& [id, worker] : workers)
        for (auto& task : worker->tasks)
            if (task.job == job && task.attempt == attempt && task.stance == "gathering")
                gathered.emplace_back(worker.get(), &task);
    const JobInfo& info = jobs.at(job);
    if (gathered.size() < info.spec["hooves"].get<std::size_t>()) return;
    log("gang " + job + " leap " + std::to_string(attempt) + " runs");
    for (const auto& [worker, task] : gathered) {
        task->stance = "running";
        worker->changed();
    }
    net.after(info.runs, [this, job, attempt] { gangDone(job, attempt); });
}

void World::gangDone(const std::string& job, std::uint64_t attempt) {
    std::vector<std::pair<Worker*, Task*>> running;
    for (const auto& [id, worker] : workers)
        for (auto& task : worker->tasks)
            if (task.job == job && task.attempt == attempt && task.stance == "running")
                running.emplace_back(worker.get(), &task);
    if (running.size() < jobs.at(job).spec["hooves"].get<std::size_t>()) return;
    for (const auto& [worker, task] : running) {
        worker->remove(*task, "done");
        worker->changed();
    }
}

// The other tasks of a running gang notice within `gang_peer_s` that one is gone.
void World::gangLost(const std::string& job, std::uint64_t attempt) {
    for (const auto& [id, worker] : workers)
        for (auto& task : worker->tasks) {
            if (task.job != job || task.attempt != attempt || task.stance != "running") continue;
            net.after(deployment.gangPeer * uniform(0.9, 0.97),
                      [w = worker.get(), serial = task.serial] {
                          Task* left = w->bySerial(serial);
                          if (w->gone || left == nullptr || left->stance != "running") return;
                          w->remove(*left, "mates_gone");
                          w->changed();
                      });
        }
}

void World::tick() {
    expireHolds();
    for (std::size_t i = 0; i < follows_.size();) {
        auto& follow = follows_[i];
        const bool waits = stateOut || refusedNodes.contains(follow.node);
        if (waits || net::now() < follow.until) {
            ++i;
            continue;
        }
        const auto reply = follow.reply;
        const Json list = changesFor(follow);  // some may have come while it had to wait
        follows_.erase(follows_.begin() + static_cast<std::ptrdiff_t>(i));
        reply(200, encode({{"ring", ring_}, {"log", list}}));
    }
    for (const auto& [id, worker] : workers) worker->checkLease();
    net.after(tickSeconds, [this] { tick(); });
}

// The state service.

bool World::Bucket::take(double count) {
    const double time = net::now();
    tokens = std::min(rate, tokens + (time - at) * rate);
    at = time;
    if (tokens < count) return false;
    tokens -= count;
    return true;
}

void World::expireHolds() {
    if (stateOut) {
        for (auto& [id, hold] : holds_) hold.until = net::now() + hold.ttl;
        return;
    }
    for (auto hold = holds_.begin(); hold != holds_.end();) {
        if (net::now() < hold->second.until) {
            ++hold;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, record] : records_)
            if (record.tether == hold->first) keys.push_back(key);
        hold = holds_.erase(hold);
        for (const auto& key : keys) {
            ++ring_;
            change(key, std::nullopt, 0);
        }
        answerFollows();
        if (onHoldEnded) onHoldEnded(keys);
    }
}

void World::change(const std::string& key, std::optional<Json> value, std::uint64_t tether) {
    if (value)
        records_[key] = {*value, ring_, tether};
    else if (records_.erase(key) == 0)
        return;
    changes_.push_back({ring_, key, std::move(value)});
    if (changes_.size() > changesKept) changes_.pop_front();
}

Json World::changesFor(const Follow& follow) const {
    Json list = Json::array();
    for (const auto& entry : changes_) {
        if (entry.ring <= follow.since || !entry.key.starts_with(follow.prefix)) continue;
        if (entry.value)
            list.push_back({{"write", entry.key}, {"value", *entry.value}, {"mark", entry.ring}});
        else
            list.push_back({{"drop", entry.key}, {"mark", entry.ring}});
    }
    return list;
}

void World::answerFollows() {
    for (std::size_t i = 0; i < follows_.size();) {
        const auto& follow = follows_[i];
        Json list = Json::array();
        if (!stateOut && !refusedNodes.contains(follow.node)) list = changesFor(follow);
        if (list.empty()) {
            ++i;
            continue;
        }
        const auto reply = follow.reply;
        follows_.erase(follows_.begin() + static_cast<std::ptrdiff_t>(i));
        reply(200, encode({{"ring", ring_}, {"log", std::move(list)}}));
    }
}

void World::serveState(int node, const net::Request& request, net::Reply reply) {
    const Json body = decode(request.body);
    if (stateOut || refusedNodes.contains(node)) return reply(503, {});
    if (stateAnswerDelay)
        reply = [this, node, request, body, reply](int status, const std::string& text) {
            const double delay = stateAnswerDelay(node, request, body, status);
            if (delay <= 0) return answerInTime(node, request, reply, status, text);
            net.after(delay, [reply, status, text] { reply(status, text); });
        };
    stateRequest(node, request, body, reply);
}

void World::stateRequest(int node, const net::Request& request, const Json& body,
                         const net::Reply& reply) {
    if (!requests_.take(1)) return reply(429, {});
    const auto path = request.path.substr(0, request.path.find('?'));
    auto query = queryOf(request.path);
    const auto item = [](const std::string& key, const Record& record) {
        Json out{{"k", key}, {"value", record.value}, {"mark", record.mark}};
        if (record.tether != 0) out["tether"] = record.tether;
        return out;
    };
    if (path == "/txn") {
        const double late = lateTransaction ? lateTransaction(node, body) : 0;
        if (late <= 0) return transactionInTime(node, body, reply);
        return net.after(late, [this, body] { transaction(body, [](int, const std::string&) {}); });
    }
    if (path == "/follow") {
        const auto since = std::stoull(query["since"]);
        if (changes_.size() == changesKept && since + 1 < changes_.front().ring)
            return reply(410, {});
        const double wait = query["wait_ms"].empty() ? 0 : std::stod(query["wait_ms"]) / 1000;
        follows_.push_back({node, query["starts"], since, net::now() + wait, reply});
        return answerFollows();
    }
    if (path == "/holds") {
        const double ttl = body.value("ttl_ms", 0.0) / 1000;
        holds_[nextHold_] = {ttl, net::now() + ttl};
        return reply(200, encode({{"tether", nextHold_++}}));
    }
    if (path.starts_with("/holds/")) {
        const auto hold = holds_.find(std::stoull(path.substr(7)));
        if (hold == holds_.end()) return reply(404, {});
        hold->second.until = request.method == "DELETE" ? 0 : net::now() + hold->second.ttl;
        return reply(200, encode({{"tether", hold->first}}));
    }
    if (path == "/keys") {
        Json items = Json::array();
        const auto most =
            query["most"].empty() ? 1000 : std::min(1000UL, std::stoul(query["most"]));
        bool more = false;
        for (auto at = records_.lower_bound(query["starts"]);
             at != records_.end() && at->first.starts_with(query["starts"]); ++at) {
            if (!query["since"].empty() && at->first <= query["since"]) continue;
            if (items.size() >= most) {
                more = true;
                break;
            }
            items.push_back(item(at->first, at->second));
        }
        return reply(200, encode({{"items", items}, {"more", more}, {"ring", ring_}}));
    }
    if (!path.starts_with("/keys/")) return reply(400, {});
    const auto found = records_.find(path.substr(6));
    if (found == records_.end()) return reply(404, encode({{"ring", ring_}}));
    reply(200, encode(item(found->first, found->second)));
}

void World::transactionInTime(int node, const Json& body, const net::Reply& reply) {
    if (!transactionWaits || !transactionWaits(node, body)) return transaction(body, reply);
    net.after(0.005, [this, node, body, reply] { transactionInTime(node, body, reply); });
}

void World::answerInTime(int node, const net::Request& request, const net::Reply& reply, int status,
                         const std::string& text) {
    if (!answerWaits || !answerWaits(node, request)) return reply(status, text);
    net.after(0.005, [=, this] { answerInTime(node, request, reply, status, text); });
}

void World::transaction(const Json& body, const net::Reply& reply) {
    const Json guards = body.value("guards", Json::array());
    const Json list = body.value("writes", Json::array());
    if (list.size() > deployment.txnOps || guards.size() > 4 * deployment.txnOps)
        return reply(400, {});
    for (const auto& write : list)
        if (write.contains("value") &&
            static_cast<double>(write["value"].dump().size()) > deployment.valueKb * 1024)
            return reply(400, {});
    if (!writes_.take(static_cast<double>(list.size()))) return reply(429, {});
    for (const auto& write : list)
        if (write.contains("tether") && !holds_.contains(write["tether"].get<std::uint64_t>()))
            return reply(400, encode({{"error", "no such lease"}}));
    Json failed = Json::array();
    for (const auto& guard : guards) {
        const auto found = records_.find(guard["k"].get<std::string>());
        if ((found == records_.end() ? 0 : found->second.mark) !=
            guard["mark"].get<std::uint64_t>())
            failed.push_back(guard["k"]);
    }
    if (!failed.empty()) return reply(409, encode({{"failed", failed}, {"ring", ring_}}));
    if (!list.empty()) ++ring_;
    for (const auto& write : list) {
        if (write.contains("drop"))
            change(write["drop"], std::nullopt, 0);
        else
            change(write["write"], write["value"], write.value("tether", std::uint64_t{0}));
    }
    reply(200, encode({{"ring", ring_}}));
    answerFollows();
}

// The cloud: no capacity beyond the machines that are there.

void World::serveCloud(const net::Request& request, const net::Reply& reply) {
    const auto path = request.path.substr(0, request.path.find('?'));
    auto query = queryOf(request.path);
    // Bursts worth two seconds.
    const double time = net::now();
    cloudCalls_.tokens = std::min(2 * cloudCalls_.rate,
                                  cloudCalls_.tokens + (time - cloudCalls_.at) * cloudCalls_.rate);
    cloudCalls_.at = time;
    if (cloudCalls_.tokens < 1) return reply(429, {});
    cloudCalls_.tokens -= 1;
    if (path == "/catalog") {
        Json list = Json::array();
        for (const auto& type : deployment.types)
            list.push_back({{"name", type.name},
                            {"cores", type.cores},
                            {"gpus", type.gpus},
                            {"mem_gb", type.memory},
                            {"cache_gb", type.cacheGb},
                            {"pull_gb_per_s", type.pullGbPerSecond},
                            {"price", type.price},
                            {"market_price", type.price / 2},
                            {"ready_s", 30},
                            {"meadows", type.zones}});
        return reply(200, encode({{"breeds", list}}));
    }
    if (path == "/rentals/release") {
        const Json body = decode(request.body);
        for (const auto& name : body.value("spokes", Json::array())) {
            const auto found = workers.find(name.get<std::string>());
            if (found == workers.end() || found->second->gone) continue;
            log("cloud releases " + found->first);
            Worker& worker = *found->second;
            for (auto& task : worker.tasks)
                if (task.stance != "ended") worker.remove(task, "machine gone");
            worker.tasks.clear();
            worker.gone = true;
        }
        return reply(200, encode(Json::object()));
    }
    if (path != "/rentals") return reply(404, {});
    if (request.method == "POST") return reply(503, encode({{"error", "no capacity"}}));
    Json list = Json::array();
    bool more = false;
    const auto most = query["most"].empty() ? 500UL : std::stoul(query["most"]);
    for (const auto& [id, worker] : workers) {
        if (worker->gone || id <= query["since"]) continue;
        if (list.size() >= most) {
            more = true;
            break;
        }
        list.push_back({{"id", id},
                        {"address", worker->address},
                        {"breed", worker->type.name},
                        {"meadow", worker->zone},
                        {"strays", worker->spot},
                        {"stance", "running"},
                        {"age_s", 600 + net::now()}});
    }
    reply(200, encode({{"spokes", list}, {"more", more}}));
}

}  // namespace world
