// Carries a leader's changes to the state service: for each partition one transaction at a time,
// each guarded by the partition's own record, repeated until there is a definite answer.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>

#include "coordination/context.h"

namespace fawnwheel::coordination {

enum class CommitResult {
    done,
    conflict,  // another writer came first; the cluster state has been refreshed
    rejected,  // too large for the state service; the cluster state has been refreshed
    partitionLost,
};

class TransactionPipeline {
  public:
    using Done = std::function<void(CommitResult, std::uint64_t revision)>;

    explicit TransactionPipeline(Context& context) : context_(context) {}

    // The partition's record as it is known now is added to the conditions: a change that was
    // decided in one term is never carried out in a later one. After a conflict the cluster state
    // has been refreshed.
    void commit(std::uint32_t partition, protocol::CompareAndSwap transaction, Done done);
    [[nodiscard]] bool busy(std::uint32_t partition) const;
    [[nodiscard]] bool inFlight(const std::string& key) const { return keys_.contains(key); }
    // The partition is no longer ours: what waits is dropped.
    void abandon(std::uint32_t partition);

    // What is known of the partition may be wrong: the records have to be read anew.
    std::function<void()> onDoubt = [] {};
    // A transaction has its outcome, and its leader has taken it in: these keys may be free again.
    std::function<void(const std::vector<std::string>& keys)> onSettled =
        [](const std::vector<std::string>&) {};

  private:
    struct PendingTransaction {
        protocol::CompareAndSwap transaction;
        Done done;
        bool sent = false;     // at least once without a definite answer
        bool sending = false;  // its answer is awaited
        bool rejected = false;
        std::uint64_t id = 0;
        std::uint64_t partitionVersion = 0;  // the term in which it was decided
    };

    void send(std::uint32_t partition);
    void settle(std::uint32_t partition, CommitResult result, std::uint64_t revision);
    // Frees the keys of a transaction and tells its leader of the outcome.
    void finish(const PendingTransaction& pending, CommitResult result, std::uint64_t revision);
    void readBack(std::uint32_t partition);
    void finishReadBack(std::uint32_t partition, std::vector<protocol::Item> items,
                        const std::map<std::string, std::uint64_t>& missing);

    Context& context_;
    std::map<std::uint32_t, std::deque<PendingTransaction>> queues_;
    std::multiset<std::string> keys_;
    std::uint64_t nextId_ = 1;
};

}  // namespace fawnwheel::coordination
