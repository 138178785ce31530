// One kept HTTP connection of a load generator to its manager: one statement at a time, as the clients'
// protocol says. Follows the link of a long statement, and sends a statement again once where it crossed the
// close of an idle connection.
#pragma once

#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "lab/load/load_checker.h"
#include "net/connection.h"
#include "net/event_loop.h"
#include "net/http.h"

namespace pearchute::lab {

// A statement on its way.
struct ClientStatement {
  StatementId id = 0;
  std::string hex_id;
  std::size_t step = 0;
  std::size_t class_index = 0;
  CheckTime intended{};  // of the steady clock
  std::string request;
};

class ClientConnection final : public net::Connection::Listener {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // The statement's bytes are handed to an open connection.
    virtual void statement_sent(ClientConnection& connection) = 0;
    // False where it is too late to send it at all.
    virtual bool worth_sending(const ClientStatement& statement) = 0;
    virtual void statement_answered(ClientConnection& connection, StatementAnswer answer,
                                    std::string_view body) = 0;
    virtual void statement_lost(ClientConnection& connection) = 0;       // its connection ended
    virtual void statement_unreached(ClientConnection& connection) = 0;  // no connection came about
    virtual void connection_idle(ClientConnection& connection) = 0;
    virtual void connection_over(ClientConnection& connection) = 0;  // to be dropped
    virtual void answered_nobody() = 0;
    virtual void connection_turned_away() = 0;
  };

  ClientConnection(net::Loop& loop, const Poco::Net::SocketAddress& manager, Owner& owner);
  void send(ClientStatement statement);
  bool busy() const { return busy_; }
  bool was_sent() const { return sent_; }  // the statement, over an open connection
  const ClientStatement& statement() const { return statement_; }
  std::unique_ptr<net::Connection> release_connection() { return std::move(wire_); }

  void on_opened() override;
  void on_data(std::string_view bytes) override;
  void on_closed() override;

  // For its owner: where it stands among the idle ones, while it is idle.
  std::list<ClientConnection*>::iterator idle_position;
  bool is_idle = false;

 private:
  void connect();
  void put_out();
  void received(const net::Message& message);
  void end(StatementAnswer answer, std::string_view body, bool closes);
  std::string link_request() const;

  net::Loop& loop_;
  const Poco::Net::SocketAddress manager_;
  Owner& owner_;
  std::unique_ptr<net::Connection> wire_;
  net::MessageReader reader_{net::MessageReader::Side::requests};
  ClientStatement statement_;
  std::string link_;
  bool busy_ = false;
  bool opened_ = false;
  bool sent_ = false;
  bool answer_begun_ = false;
  bool was_idle_ = false;  // before this statement, so that the manager may have been about to close it
  int retries_ = 0;
};

}  // namespace pearchute::lab
