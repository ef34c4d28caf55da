/// @file Tracks which back ends are leaving. Any of three sources may mark an incarnation of a back
/// end. A mark does not apply to newer incarnations, and an operator's mark can be undone. No I/O.
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
  /// Marks an incarnation and all earlier ones of a back end as leaving.
  /// @param incarnation in the back end's own numbering for `leaving_source::back_end`, otherwise
  /// as in the machine list.
  void mark(std::string const& back_end, std::uint64_t incarnation, leaving_source source);
  /// Removes the operator's drain of this back end; marks of other sources remain.
  void undo_operator_drain(std::string const& back_end);
  /// Returns true if new requests must not be sent to a back end.
  /// @param listed_incarnation the back end's incarnation in the machine list; compared with the
  /// marks of the machine list and of operators.
  /// @param reported_incarnation the incarnation that the back end reports, in its own numbering;
  /// compared with the back end's own mark, which is ignored if this parameter is absent.
  bool is_leaving(std::string const& back_end, std::uint64_t listed_incarnation,
                  std::optional<std::uint64_t> reported_incarnation) const;
  std::vector<leaving_entry> entries() const;

 private:
  struct marks {
    /// Highest incarnation that each source has marked as leaving.
    std::map<leaving_source, std::uint64_t> incarnations;
  };
  std::map<std::string, marks> back_ends_;
};

}  // namespace frostline::routing
