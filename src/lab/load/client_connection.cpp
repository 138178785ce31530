#include "lab/load/client_connection.h"

#include <cstdlib>
#include <utility>

namespace pearchute::lab {

namespace {

constexpr int max_link_retries = 3;

int status_of(const net::Message& message) {
  return std::atoi(message.first_line.substr(message.first_line.find(' ') + 1).c_str());
}

}  // namespace

ClientConnection::ClientConnection(net::Loop& loop, const Poco::Net::SocketAddress& manager, Owner& owner)
    : loop_(loop), manager_(manager), owner_(owner) {
  connect();
}

void ClientConnection::connect() {
  opened_ = false;
  was_idle_ = false;
  reader_ = net::MessageReader(net::MessageReader::Side::requests);
  loop_.retire(std::move(connection_));
  connection_ = std::make_unique<net::Connection>(loop_, manager_, *this);
}

void ClientConnection::send(ClientStatement statement) {
  statement_ = std::move(statement);
  link_.clear();
  busy_ = true;
  sent_ = false;
  answer_begun_ = false;
  retries_ = 0;
  was_idle_ = opened_;
  if (opened_) write_request();
}

void ClientConnection::on_opened() {
  opened_ = true;
  if (!busy_) return owner_.on_connection_idle(*this);
  if (!sent_ && !owner_.is_within_deadline(statement_)) {
    busy_ = false;
    owner_.on_statement_unreached(*this);
    return owner_.on_connection_idle(*this);
  }
  write_request();
}

void ClientConnection::write_request() {
  if (!sent_) owner_.on_statement_sent(*this);
  sent_ = true;
  connection_->send(link_.empty() ? statement_.request : link_request());
}

std::string ClientConnection::link_request() const { return "GET " + link_ + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

void ClientConnection::on_data(std::string_view bytes) {
  while (!bytes.empty()) {
    answer_begun_ = busy_;
    const auto status = reader_.feed(bytes);
    if (status == net::MessageReader::Status::more) return;
    if (status != net::MessageReader::Status::whole) return on_closed();
    const net::Message message = std::move(reader_.message());
    reader_.next();
    on_message(message);
    if (!connection_ || connection_->closed()) return;
  }
}

void ClientConnection::on_message(const net::Message& message) {
  const int status = status_of(message);
  const bool closes = message.header("connection") == "close";
  if (!busy_ || !opened_) {
    // The manager may answer 503 or 408 before it closes a connection that has no open request.
    if (closes && (status == 503 || status == 408)) owner_.on_connection_rejected();
    else owner_.on_unmatched_answer();
    if (closes) owner_.on_connection_ended(*this);
    return;
  }
  constexpr std::string_view link_mark = "\"link\":\"";
  const std::size_t link = message.body.find(link_mark);
  if (status == 200 && link != std::string::npos) {
    const std::size_t start = link + link_mark.size();
    link_ = message.body.substr(start, message.body.find('"', start) - start);
    retries_ = 0;
    answer_begun_ = false;
    return write_request();
  }
  const bool aborted = message.body.find("\"abort\"") != std::string::npos;
  const bool later = message.body.find("\"TryLater\"") != std::string::npos;
  if (status == 429 || status == 503 || later) {
    const bool advised = !message.header("retry-after-ms").empty();
    return finish(advised ? StatementAnswer::rejected_with_advice : StatementAnswer::rejected_without_advice,
                  message.body, closes);
  }
  const bool done = status == 200 && !aborted;
  finish(done ? StatementAnswer::done : StatementAnswer::failed, message.body, closes);
}

void ClientConnection::finish(StatementAnswer answer, std::string_view body, bool closes) {
  busy_ = false;
  owner_.on_statement_answered(*this, answer, body);
  if (closes) owner_.on_connection_ended(*this);
  else owner_.on_connection_idle(*this);
}

void ClientConnection::on_closed() {
  if (!busy_) return owner_.on_connection_ended(*this);
  if (!opened_ && link_.empty()) {
    busy_ = false;
    owner_.on_statement_unreached(*this);
    return owner_.on_connection_ended(*this);
  }
  const bool crossed_idle_close = link_.empty() && was_idle_ && !answer_begun_ && retries_ == 0;
  const bool can_poll_again = !link_.empty() && retries_ < max_link_retries;
  if (crossed_idle_close || can_poll_again) {
    ++retries_;
    answer_begun_ = false;
    return connect();
  }
  busy_ = false;
  owner_.on_statement_lost(*this);
  owner_.on_connection_ended(*this);
}

}  // namespace pearchute::lab
