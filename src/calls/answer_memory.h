/// @file Limits the memory that answers take up together, from their first byte until they have
/// been passed on. No I/O.
#pragma once

#include <cstddef>

namespace frostline::calls {

/// Largest memory that answers may take up together, and so the limit of a single one.
inline constexpr std::size_t k_max_answer_bytes = 64 * 1024 * 1024;

/// While all answers together exceed the limit, those that grow beyond an equal share of it are
/// given up: an answer without end, which a faulty server may send, does not cost the others
/// theirs.
class answer_memory {
 public:
  explicit answer_memory(std::size_t limit_bytes = k_max_answer_bytes)
      : limit_bytes_(limit_bytes) {}

  /// One answer. The memory must outlive it.
  class reader {
   public:
    explicit reader(answer_memory& memory) : memory_(memory) { ++memory_.readers_; }
    ~reader() {
      --memory_.readers_;
      memory_.used_bytes_ -= bytes_;
    }
    reader(reader const&) = delete;
    reader& operator=(reader const&) = delete;

    /// Adds received bytes. @return false if the answer must be given up.
    bool add(std::size_t bytes);

   private:
    answer_memory& memory_;
    std::size_t bytes_ = 0;
  };

  std::size_t limit_bytes() const { return limit_bytes_; }
  std::size_t used_bytes() const { return used_bytes_; }

 private:
  std::size_t limit_bytes_;
  std::size_t used_bytes_ = 0;
  std::size_t readers_ = 0;
};

}  // namespace frostline::calls
