// A keep-alive HTTP connection of a load generator to its manager, with one statement at a time as in the
// clients' protocol. It polls the link of a long statement. It sends a statement once more on a new
// connection if the manager closed the idle connection while the statement was on its way.
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

// A statement that is sent once its connection is open.
struct ClientStatement {
  StatementId id = 0;
  std::string hex_id;
  std::size_t step = 0;  // index of the load step
  std::size_t class_index = 0;
  CheckTime intended{};  // time of sending by the schedule, of the steady clock
  std::string request;   // the HTTP request in full
};

class ClientConnection final : public net::Connection::Listener {
 public:
  // Receives the events of its connections, on their loop.
  class Owner {
   public:
    virtual ~Owner() = default;
    // The statement is about to be written to an open connection. Called once for each statement.
    virtual void on_statement_sent(ClientConnection& connection) = 0;
    // Whether the statement may still be sent. If not, the connection reports it as unreached.
    virtual bool is_within_deadline(const ClientStatement& statement) = 0;
    virtual void on_statement_answered(ClientConnection& connection, StatementAnswer answer,
                                       std::string_view body) = 0;
    // The connection ended without an answer.
    virtual void on_statement_lost(ClientConnection& connection) = 0;
    // No connection could be opened, or only after the deadline.
    virtual void on_statement_unreached(ClientConnection& connection) = 0;
    virtual void on_connection_idle(ClientConnection& connection) = 0;
    virtual void on_connection_ended(ClientConnection& connection) = 0;  // the owner must release it
    // An answer arrived while no statement was open.
    virtual void on_unmatched_answer() = 0;
    // The manager closed a connection without an open statement, with the status 503 or 408.
    virtual void on_connection_rejected() = 0;
  };

  // Begins to connect at once. `loop` and `owner` must outlive it.
  ClientConnection(net::Loop& loop, const Poco::Net::SocketAddress& manager, Owner& owner);
  // Only while no statement is open. Sends once the connection is open.
  void send(ClientStatement statement);
  bool is_busy() const { return busy_; }
  bool was_sent() const { return sent_; }  // whether the statement was written to an open connection
  const ClientStatement& statement() const { return statement_; }
  std::unique_ptr<net::Connection> release_connection() { return std::move(connection_); }

  void on_opened() override;
  void on_data(std::string_view bytes) override;
  void on_closed() override;

  // For the owner: the position in its list of idle connections, valid while `is_idle` is set.
  std::list<ClientConnection*>::iterator idle_position;
  bool is_idle = false;

 private:
  void connect();
  void write_request();
  void on_message(const net::Message& message);
  void finish(StatementAnswer answer, std::string_view body, bool closes);
  std::string link_request() const;

  net::Loop& loop_;
  const Poco::Net::SocketAddress manager_;
  Owner& owner_;
  std::unique_ptr<net::Connection> connection_;
  net::MessageReader reader_{net::MessageReader::Side::requests};
  ClientStatement statement_;
  std::string link_;
  bool busy_ = false;
  bool opened_ = false;
  bool sent_ = false;
  bool answer_begun_ = false;
  bool was_idle_ = false;  // open before this statement, so the manager may have closed it meanwhile
  int retries_ = 0;
};

}  // namespace pearchute::lab
