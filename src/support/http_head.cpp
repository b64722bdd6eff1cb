#include "masticshunt/support/http_head.h"

#include <string_view>

namespace masticshunt::support {

bool has_folded_line(boost::asio::const_buffer received) {
  constexpr std::string_view line_end = "\r\n";
  constexpr std::string_view head_end = "\r\n\r\n";
  const std::string_view text(static_cast<const char*>(received.data()), received.size());
  // The parser has taken all lines but the empty one at the end.
  if (text.starts_with(line_end)) return false;
  const auto head = text.substr(0, text.find(head_end));
  auto end = head.find(line_end);
  while (end != head.npos) {
    const auto next = end + line_end.size();
    if (next < head.size() && (head[next] == ' ' || head[next] == '\t')) return true;
    end = head.find(line_end, next);
  }
  return false;
}

}  // namespace masticshunt::support
