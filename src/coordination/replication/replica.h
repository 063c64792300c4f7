// Keeps the cluster state a replica of the active records: reads them all once, then follows the
// changes.
#pragma once

#include <functional>
#include <set>

#include "coordination/replication/replica_status.h"

namespace fawnwheel::coordination {

class Replica : public ReplicaStatus {
  public:
    explicit Replica(Context& context) : context_(context) {}

    void start() { readAll(); }
    // Everything anew: after a doubt about what the cluster state holds.
    void resync();
    [[nodiscard]] bool synced() const override { return synced_; }
    // Read in whole at least once by this process.
    [[nodiscard]] bool everSynced() const override { return everSynced_; }
    // The cluster state holds, or has noted, everything that was carried out before this.
    [[nodiscard]] SteadyTime currentAsOf() const override { return currentAsOf_; }

    // These keys' transactions have been settled: what the watch brought of them meanwhile, and
    // what they are not under way for any more, is taken in now.
    void settle(const std::vector<std::string>& keys);

    // Whether the watch has brought changes that wait for transactions of ours to be settled.
    [[nodiscard]] bool anyDeferred() const override { return !deferred_.empty(); }

    // Whether one of our own transactions on this key is under way: its answer settles the key.
    std::function<bool(const std::string& key)> inFlight = [](const std::string&) { return false; };
    std::function<void()> onChange = [] {};

  private:
    void readAll();
    void readPage(const std::string& after, std::uint64_t generation);
    void watch(std::uint64_t generation);
    void finishRead();
    void catchUp();

    Context& context_;
    bool synced_ = false;
    bool everSynced_ = false;
    SteadyTime currentAsOf_{};
    SteadyTime readBegan_{};
    std::uint64_t generation_ = 0;
    std::uint64_t firstRevision_ = 0;
    std::uint64_t lastRevision_ = 0;
    std::vector<protocol::Item> items_;
    // The latest change of each key that was under way when the watch brought it. It may be newer
    // than our own transaction's, whose answer can come later.
    std::map<std::string, protocol::Event> deferred_;
};

}  // namespace fawnwheel::coordination
