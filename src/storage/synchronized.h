// Shared state behind a short lock. Sending only queues bytes for the loop, so a holder never
// waits for I/O. The lock may be taken again by a callee of its holder.
#pragma once

#include <mutex>

namespace fawnwheel::storage {

template <typename T>
class Synchronized {
  public:
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
