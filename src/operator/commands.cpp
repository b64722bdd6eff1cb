#include "masticshunt/operator/command.h"

namespace masticshunt::operators {

std::span<const command> operator_commands() {
  return {};
}

}  // namespace masticshunt::operators
