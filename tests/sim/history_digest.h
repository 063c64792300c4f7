// Digest of a simulation's observable behaviour: every request, response, frame and record change
// in order, with its virtual time. Two runs that behaved alike have the same digest.
#pragma once

#include <boost/crc.hpp>
#include <cstdint>
#include <string_view>

#include "sim/checker.h"

namespace fawnwheel::sim {

/// Accumulates the observable events of one simulated run into a 64-bit CRC (ECMA-182).
class HistoryDigest {
  public:
    /// Adds one event of a kind. `pieces` are its texts, such as source, target and payload.
    void add(Time when, std::string_view kind, std::initializer_list<std::string_view> pieces) {
        const double seconds = when.count();
        crc_.process_bytes(&seconds, sizeof seconds);
        addText(kind);
        for (const auto piece : pieces) addText(piece);
        ++events_;
    }

    [[nodiscard]] std::uint64_t value() const { return crc_.checksum(); }
    [[nodiscard]] std::uint64_t events() const { return events_; }

  private:
    // Hashing the length too keeps adjacent texts distinct: {"ab", "c"} and {"a", "bc"}.
    void addText(std::string_view text) {
        const std::uint64_t size = text.size();
        crc_.process_bytes(&size, sizeof size);
        crc_.process_bytes(text.data(), text.size());
    }

    boost::crc_optimal<64, 0x42F0E1EBA9EA3693ULL, 0, 0, false, false> crc_;
    std::uint64_t events_ = 0;
};

}  // namespace fawnwheel::sim
