/// @file Limits the memory that all requests of a listener take at once. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>

namespace frostline::http {

/// Memory shared by the bodies of requests that are being read or answered, and by the buffers of
/// their connections. When it is used up, the request that is still being read and holds the most
/// is refused: small requests are served beside any number of large ones, and a client that stops
/// in the middle of a large body gives way to clients that go on. Not thread-safe.
class request_memory {
 public:
  /// Bytes of each body, and of each buffer, that are not counted. The number of connections limits
  /// these.
  static constexpr std::size_t k_uncounted_bytes = 16 * 1024;

  explicit request_memory(std::size_t capacity_bytes) : capacity_(capacity_bytes) {}

  /// The part of one request, released when destroyed.
  class reservation {
   public:
    /// @param on_refused called when another request needs this one's memory. The request's body
    /// must be freed soon.
    reservation(request_memory& memory, std::function<void()> on_refused)
        : memory_(memory), on_refused_(std::move(on_refused)) {}
    ~reservation() { memory_.release(*this); }
    reservation(reservation const&) = delete;
    reservation& operator=(reservation const&) = delete;

    /// Takes memory for a body that has grown to `body_bytes`.
    /// @return false if this request is refused and its body must be freed.
    bool grow_to(std::size_t body_bytes);
    /// Takes memory for the buffer of the request's connection. Otherwise like `grow_to`.
    bool grow_buffer_to(std::size_t buffer_bytes);
    /// The whole body has been read: the request is no longer refused for the sake of others.
    void finish_reading();
    bool is_refused() const { return is_refused_; }

   private:
    friend class request_memory;

    bool take();

    request_memory& memory_;
    std::function<void()> on_refused_;
    std::size_t body_bytes_ = 0;
    std::size_t buffer_bytes_ = 0;
    /// Counted bytes that this request holds.
    std::size_t bytes_ = 0;
    bool is_refused_ = false;
  };

  std::size_t capacity() const { return capacity_; }
  std::size_t held() const { return held_; }
  /// Number of requests refused because the memory was used up.
  std::uint64_t refused() const { return refused_; }

 private:
  void refuse(reservation& request);
  void release(reservation& request);

  std::size_t capacity_;
  std::size_t held_ = 0;
  std::uint64_t refused_ = 0;
  /// Requests that are being read and hold counted bytes.
  std::set<reservation*> reading_;
};

}  // namespace frostline::http
