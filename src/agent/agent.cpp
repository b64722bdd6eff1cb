#include "masticshunt/agent/agent.h"

#include "agent/internal/agent_implementation.h"

namespace masticshunt::agent {

agent::agent(agent_settings settings)
    : implementation_(std::make_unique<implementation>(std::move(settings))) {}
agent::~agent() = default;

bool agent::start(failure& reason) {
  return implementation_->start(reason);
}
void agent::request_stop() {
  implementation_->request_stop();
}
bool agent::wait_stopped(std::chrono::milliseconds limit) {
  return implementation_->wait_stopped(limit);
}
void agent::kill() {
  implementation_->kill();
}
void agent::set_paused(bool paused) {
  implementation_->set_paused(paused);
}

const ownership::agent_description& agent::description() const {
  return implementation_->description();
}
endpoint agent::upstream_port_endpoint() const {
  return implementation_->upstream_port_endpoint();
}
endpoint agent::operator_endpoint() const {
  return implementation_->operator_endpoint();
}
double agent::routable_share(std::string_view service) const {
  return implementation_->routable_share(service);
}
std::string agent::dump() const {
  return implementation_->dump();
}

}  // namespace masticshunt::agent
