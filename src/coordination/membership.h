// Who is alive, who owns which part, and whether this process may still act as an owner.
//
// A node's record hangs on a lease with the state service. A part's record names its owner and
// term; the tokens that its machines see begin with the term. A lapsed owner's part goes to a peer
// with a higher term, and back when the part's natural owner has returned.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "coordination/context.h"
#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {

class Membership {
  public:
    explicit Membership(Context& context) : context_(context) {}

    void start();
    void onStatus(const std::string& peer, const protocol::Status& status);
    // The mirror has changed or been read.
    void review();

    // Our lease with the state service surely stands: nobody can have taken our parts.
    [[nodiscard]] bool leaseStands() const;
    // Workers of our parts may be answered: the lease stands, or every peer has just said that it
    // can't reach the state service either, so that none can have taken over.
    [[nodiscard]] bool mayAnswerWorkers() const;
    // Taken by this process, and the ledger holds all that preceded the taking.
    [[nodiscard]] bool active(std::uint32_t part);
    [[nodiscard]] std::vector<std::uint32_t> activeParts();
    [[nodiscard]] std::uint64_t term(std::uint32_t part);
    // The least token for a part's machines. The low bits are free to grow within a term.
    [[nodiscard]] std::uint64_t firstToken(std::uint32_t part) { return term(part) << tokenBits; }
    static constexpr std::uint32_t tokenBits = 16;
    [[nodiscard]] bool healthy() const;
    [[nodiscard]] bool peerFresh(const std::string& peer) const;
    [[nodiscard]] bool joined() const { return joined_; }

    // How long after a taking the former owner may still have renewed a worker's lease.
    static constexpr std::chrono::milliseconds confirmationLasts{2000};

    std::function<bool()> synced = [] { return false; };
    std::function<bool()> ready = [] { return false; };
    std::function<void(std::uint32_t part)> onActive = [](std::uint32_t) {};
    std::function<bool(std::uint32_t part)> busy = [](std::uint32_t) { return false; };

  private:
    struct PeerState {
        SteadyTime heard{};
        std::uint64_t sentAt = 0;  // theirs, to echo
        SteadyTime saidLost{};     // they could not reach the state service after this
        bool reachable = true;
        bool ready = false;
        SteadyTime freshSince{};
    };

    void beat();
    void createHold();
    void writeNode(std::uint64_t hold, SteadyTime sent);
    void refreshNodeVersion(std::uint64_t hold, SteadyTime sent);
    void renew();
    void rejoinLater();
    void take(std::uint32_t part);
    void handBack(std::uint32_t part);
    // The part is ours and the ledger holds all that preceded the taking.
    [[nodiscard]] bool settled(std::uint32_t part);

    Context& context_;
    std::uint64_t hold_ = 0;
    bool joined_ = false;
    SteadyTime leaseUntil_{};
    std::map<std::uint32_t, std::uint64_t> taken_;  // part -> term, by this process
    std::map<std::uint32_t, std::uint64_t> announced_;
    std::map<std::uint32_t, SteadyTime> orphanSince_;
    std::set<std::uint32_t> taking_;
    std::map<std::string, PeerState> peers_;
};

}  // namespace fawnwheel::coordination
