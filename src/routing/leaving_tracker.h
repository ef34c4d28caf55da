/// @file Which back ends are leaving. Three sources may say so; any one suffices, and only a newer
/// incarnation of the back end, or the operator's own word, undoes it. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace frostline::routing {

enum class leaving_source { machine_list, operator_drain, back_end };

std::string_view to_string(leaving_source source);

struct leaving_entry {
  std::string back_end;
  std::uint64_t incarnation = 0;
  leaving_source source = leaving_source::machine_list;
};

class leaving_tracker {
 public:
  /// The source says that this incarnation leaves. Saying so again changes nothing.
  void mark(std::string const& back_end, std::uint64_t incarnation, leaving_source source);
  /// The operator takes the drain of this back end back.
  void undo_operator_drain(std::string const& back_end);
  /// Whether new work must not be sent to a back end.
  /// @param listed its incarnation in the machine list, by which the list and operators speak.
  /// @param own the incarnation that it gives itself; absent leaves its own word out.
  bool is_leaving(std::string const& back_end, std::uint64_t listed,
                  std::optional<std::uint64_t> own) const;
  std::vector<leaving_entry> entries() const;

 private:
  struct marks {
    /// Highest incarnation that each source has called leaving; by source.
    std::map<leaving_source, std::uint64_t> incarnations;
  };
  std::map<std::string, marks> back_ends_;
};

}  // namespace frostline::routing
