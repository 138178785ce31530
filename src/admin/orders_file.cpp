#include "admin/orders_file.h"

#include <Poco/Checksum.h>
#include <fcntl.h>
#include <unistd.h>

#include <cstdio>

#include "kept.pb.h"
#include "system/files.h"

namespace pearchute::admin {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view mark = "pearchute orders 1\n";
// Twice the most orders at their longest: id, subject and holder, the reason, and what frames them.
constexpr std::size_t largest = 2 * fleet::Drains::max_directives *
                                (3 * fleet::Drains::max_name_bytes + fleet::Drains::max_reason_bytes + 64);

std::string checksum_of(std::string_view text) {
  Poco::Checksum sum(Poco::Checksum::TYPE_CRC32);
  sum.update(text.data(), static_cast<unsigned>(text.size()));
  char line[16];
  std::snprintf(line, sizeof line, "%08x\n", static_cast<unsigned>(sum.checksum()));
  return line;
}

std::string what_failed(const char* step) { return std::string(step) + ": " + text_of_last_error(); }

}  // namespace

OrdersFile::OrdersFile(std::string path, std::function<void(const char*)> passes)
    : path_(std::move(path)), passes_(std::move(passes)) {}

const std::vector<const char*>& OrdersFile::points() {
  static const std::vector<const char*> all = {"begun",  "half written", "written",
                                               "synced", "renamed",      "folder synced"};
  return all;
}

void OrdersFile::pass(const char* point) const {
  if (passes_) passes_(point);
}

OrdersFile::Found OrdersFile::read(milliseconds unix_now) {
  Found found;
  std::optional<std::string> there;
  try {
    there = read_file_if_there(path_);
  } catch (const ResourceShortage&) {
    throw;  // what it holds is still owed
  } catch (const SystemError& error) {
    found.damaged = true, found.fault = error.wrong();
    return found;
  }
  if (!there) return found;
  const std::string& text = *there;
  const std::size_t head = mark.size() + 9;
  kept::v1::KeptOrders kept;
  const char* fault = nullptr;
  if (text.size() > largest) fault = "too large";
  else if (text.size() < head || !text.starts_with(mark)) fault = "not a file of orders, or cut short";
  else if (text.substr(mark.size(), 9) != checksum_of(std::string_view(text).substr(head)))
    fault = "its checksum does not fit";
  else if (!kept.ParseFromString(text.substr(head))) fault = "not readable";
  if (fault) {
    found.damaged = true, found.fault = fault;
    std::rename(path_.c_str(), (path_ + ".damaged").c_str());
    return found;
  }
  for (const auto& one : kept.orders()) {
    fleet::DrainDirective order;
    order.id = one.id(), order.subject = one.subject(), order.holder = one.holder();
    order.generation = one.generation(), order.drains = one.drains(), order.all_holders = one.everyone();
    order.reason = one.reason();
    const milliseconds left = milliseconds(one.until_unix_ms()) - unix_now;
    order.lease = std::clamp<fleet::Duration>(left, fleet::Duration(1), fleet::Drains::max_lease);
    found.orders.emplace_back(std::move(order), left);
  }
  return found;
}

bool OrdersFile::write(const std::vector<fleet::ActiveDirective>& orders, fleet::TimePoint now,
                       milliseconds unix_now, std::string& fault) {
  kept::v1::KeptOrders kept;
  for (const fleet::ActiveDirective& held : orders) {
    auto& one = *kept.add_orders();
    one.set_id(held.order.id), one.set_subject(held.order.subject), one.set_holder(held.order.holder);
    one.set_generation(held.order.generation), one.set_drains(held.order.drains);
    one.set_everyone(held.order.all_holders), one.set_reason(held.order.reason);
    const milliseconds until = unix_now + duration_cast<milliseconds>(held.until - now);
    one.set_until_unix_ms(static_cast<std::uint64_t>(until.count()));
  }
  std::string body;
  kept.SerializeToString(&body);
  const std::string text = std::string(mark) + checksum_of(body) + body;
  const std::string beside = path_ + ".new";
  const int file =
      uninterrupted([&] { return ::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600); });
  if (file < 0) return fault = what_failed("open"), false;
  pass("begun");
  const std::string_view whole(text), first_half = whole.substr(0, text.size() / 2);
  bool written = write_all(file, first_half);
  if (written) pass("half written");
  written = written && write_all(file, whole.substr(first_half.size()));
  if (!written) {
    fault = what_failed("write");
    ::close(file), ::unlink(beside.c_str());
    return false;
  }
  pass("written");
  const bool synced = ::fsync(file) == 0;
  if (!synced) fault = what_failed("fsync");
  ::close(file);
  if (!synced) return ::unlink(beside.c_str()), false;
  pass("synced");
  if (std::rename(beside.c_str(), path_.c_str()) != 0) return fault = what_failed("rename"), false;
  pass("renamed");
  const std::size_t slash = path_.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : path_.substr(0, slash + 1);
  const int above = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (above >= 0) ::fsync(above), ::close(above);
  pass("folder synced");
  return true;
}

}  // namespace pearchute::admin
