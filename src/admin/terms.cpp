#include "admin/terms.h"

#include "ini/reader.h"

namespace pearchute::admin {

Terms read_terms(const std::string& file) {
  Terms terms;
  ini::read(file, [&](const std::string& section, const std::string& name, const std::string& text) {
    if (section != "admin") throw ini::Error("[" + section + "] is not known; [admin] is");
    // Descriptors are the clients' and engines': a few dozen at most are left for operators.
    if (name == "listen") terms.listen = place_in(text);
    else if (name == "orders_file") terms.orders_file = text;
    else if (name == "connections")
      terms.most_connections = static_cast<std::size_t>(ini::whole(name, text, 1, 64));
    else if (name == "watchers")
      terms.most_watchers = static_cast<std::size_t>(ini::whole(name, text, 0, 16));
    else if (name == "notice_ms") terms.notice = std::chrono::milliseconds(ini::whole(name, text, 0, 60'000));
    else if (name == "idle_s") terms.idle_at_most = std::chrono::seconds(ini::whole(name, text, 1, 3600));
    else throw ini::Error("'" + name + "' is not known in [admin]");
    if (name == "orders_file" && !text.starts_with("/"))
      throw ini::Error("'orders_file' is no absolute path");
  });
  if (terms.listen.text.empty()) throw ini::Error("'listen' is missing in [admin]", file);
  if (terms.most_watchers > terms.most_connections) throw ini::Error("more watchers than connections", file);
  return terms;
}

}  // namespace pearchute::admin
