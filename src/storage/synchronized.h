/// @file
/// Shared state that is accessible only while its lock is held.
#pragma once

#include <mutex>

namespace fawnwheel::storage {

/// A value protected by a recursive mutex: a function called while the lock is held may lock it
/// again. The lock is held only briefly: sending only queues bytes for the event loop, so the
/// holder never waits for I/O.
template <typename T>
class Synchronized {
  public:
    /// Gives access to the value and holds the lock until it is destroyed.
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
