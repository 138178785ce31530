#include "agent/config_codec.h"

namespace pearchute::agent {

using fleet::ConfigMark;

namespace {

ConfigMark from_wire(const v1::ConfigMark& mark) {
  ConfigMark to;
  to.epoch = mark.epoch();
  to.number = mark.number();
  to.digest = mark.digest();
  return to;
}

v1::SupersededConfig to_wire(const fleet::SupersededConfig& record) {
  v1::SupersededConfig to;
  *to.mutable_mark() = agent::to_wire(record.mark);
  *to.mutable_by() = agent::to_wire(record.by);
  to.set_author(record.author);
  for (const std::string& ancestor : record.ancestors) to.add_ancestors(ancestor);
  return to;
}

v1::ConfigDocument to_wire(const fleet::ConfigDocument& document) {
  v1::ConfigDocument to;
  *to.mutable_mark() = agent::to_wire(document.mark);
  to.set_author(document.author);
  for (const std::string& ancestor : document.ancestors) to.add_ancestors(ancestor);
  to.set_content(document.content);
  return to;
}

fleet::ConfigDocument from_wire(const v1::ConfigDocument& document) {
  fleet::ConfigDocument to;
  to.mark = from_wire(document.mark());
  to.author = document.author();
  to.ancestors.assign(document.ancestors().begin(), document.ancestors().end());
  to.content = document.content();
  return to;
}

fleet::AgentAcknowledgement from_wire(const v1::ConfigAcknowledgement& acknowledgement) {
  fleet::AgentAcknowledgement to;
  to.revision = acknowledgement.revision();
  to.in_force = acknowledgement.in_force();
  for (const v1::ConfigObstacle& one : acknowledgement.obstacles())
    to.obstacles.push_back({one.instance(), one.why()});
  return to;
}

}  // namespace

v1::ConfigMark to_wire(const ConfigMark& mark) {
  v1::ConfigMark to;
  to.set_epoch(mark.epoch);
  to.set_number(mark.number);
  to.set_digest(mark.digest);
  return to;
}

v1::ConfigMessage to_wire(const fleet::ConfigMessage& message) {
  v1::ConfigMessage to;
  to.set_from(message.from);
  *to.mutable_mark() = to_wire(message.mark);
  to.set_members(message.members);
  to.set_acknowledged(message.acknowledged);
  to.set_superseded_hash(message.superseded_hash);
  if (message.document) *to.mutable_document() = to_wire(*message.document);
  if (message.acknowledgements) {
    for (const fleet::AgentAcknowledgement& one : *message.acknowledgements) {
      v1::ConfigAcknowledgement& acknowledgement = *to.add_acknowledgements();
      acknowledgement.set_revision(one.revision);
      acknowledgement.set_in_force(one.in_force);
      for (const fleet::ConfigObstacle& obstacle : one.obstacles) {
        v1::ConfigObstacle& named = *acknowledgement.add_obstacles();
        named.set_instance(obstacle.instance);
        named.set_why(obstacle.reason);
      }
    }
  }
  for (const fleet::SupersededConfig& one : message.superseded) *to.add_superseded() = to_wire(one);
  return to;
}

fleet::ConfigMessage from_wire(const v1::ConfigMessage& message) {
  fleet::ConfigMessage to;
  to.from = message.from();
  to.mark = from_wire(message.mark());
  to.members = message.members();
  to.acknowledged = message.acknowledged();
  to.superseded_hash = message.superseded_hash();
  if (message.has_document())
    to.document = std::make_shared<const fleet::ConfigDocument>(from_wire(message.document()));
  if (message.acknowledgements_size() > 0) {
    to.acknowledgements.emplace();
    for (const auto& one : message.acknowledgements()) to.acknowledgements->push_back(from_wire(one));
  }
  for (const v1::SupersededConfig& one : message.superseded()) {
    fleet::SupersededConfig& record = to.superseded.emplace_back();
    record.mark = from_wire(one.mark());
    record.by = from_wire(one.by());
    record.author = one.author();
    record.ancestors.assign(one.ancestors().begin(), one.ancestors().end());
  }
  return to;
}

v1::ConfigShown to_wire(const fleet::ConfigReport& report) {
  v1::ConfigShown to;
  *to.mutable_mark() = to_wire(report.mark);
  to.set_verified(report.verified);
  to.set_copies(report.copies);
  for (const auto& [name, zone] : report.zones) {
    v1::ConfigZone& one = *to.add_zones();
    one.set_zone(name);
    one.set_agents(zone.agents);
    one.set_in_force(zone.in_force);
  }
  to.set_not_in_force(report.not_in_force);
  for (const std::string& name : report.names) to.add_names(name);
  for (const fleet::SupersededConfig& one : report.superseded) *to.add_superseded() = to_wire(one);
  return to;
}

}  // namespace pearchute::agent
