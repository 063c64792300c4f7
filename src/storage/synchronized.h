/// @file
/// Shared state that can be reached only through its lock.
#pragma once

#include <mutex>

namespace fawnwheel::storage {

/// A value behind a recursive mutex, which a callee of its holder may lock again. The lock is held
/// for a short time: sending only queues bytes for the loop, so a holder never waits for I/O.
template <typename T>
class Synchronized {
  public:
    /// Holds the lock for as long as it lives.
    class Access {
      public:
        Access(T& value, std::recursive_mutex& mutex) : value_(&value), lock_(mutex) {}
        T* operator->() const { return value_; }
        T& operator*() const { return *value_; }

      private:
        T* value_;
        std::unique_lock<std::recursive_mutex> lock_;
    };

    [[nodiscard]] Access lock() { return Access(value_, mutex_); }

  private:
    T value_;
    std::recursive_mutex mutex_;
};

}  // namespace fawnwheel::storage
