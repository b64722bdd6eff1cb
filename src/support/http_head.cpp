#include "masticshunt/support/http_head.h"

namespace masticshunt::support {

bool has_folded_line(std::string_view received) {
  constexpr std::string_view line_end = "\r\n";
  constexpr std::string_view head_end = "\r\n\r\n";
  // The parser has taken all lines but the empty one at the end.
  if (received.starts_with(line_end)) return false;
  const auto head = received.substr(0, received.find(head_end));
  auto end = head.find(line_end);
  while (end != head.npos) {
    const auto next = end + line_end.size();
    if (next < head.size() && (head[next] == ' ' || head[next] == '\t')) return true;
    end = head.find(line_end, next);
  }
  return false;
}

}  // namespace masticshunt::support
