// The protocol between the operators' simulator and its adapter: the reply to each batch of events, and the
// error message for each kind of malformed input.
#include <cassert>
#include <sstream>
#include <string>

#include "simulator_adapter/session.h"

using pearchute::service::Malformed;
using pearchute::simulator_adapter::Session;

const std::string launch =
    "LAUNCH\tnonce64=7\tclasses.count=1\tclasses.0.name=lookup\tclasses.0.slo=300000\tclasses.0.giveUp="
    "1500000\t"
    "classes.0.repeat=pure\tfailureDomains=a,b\thostTypes=c8\tfamilyInfo.coresByKind=8\tfamilyInfo.sizeMb="
    "8000.0\t"
    "familyInfo.grantCap=0.5\tfamilyInfo.takesGrants=true\tlimits.attemptsCap=3\tnInstances=1\tme=0\tround="
    "5000\t"
    "zone=a\tneverHeardOf=1\n";
const std::string pool =
    "POOL\tbank=3\trows=1\nENTRY\tengine=42\tfailureDomain=a\tfamilyType=c8\tunitGroup=0\tmode=up\tweight="
    "1\n";
const std::string request =
    "REQ\thandle=9\ttype=lookup\texpiresIn=1500000\tguess=50000\tneedMb=100\tflags=1\n";

std::string reply_to(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  Session(in, out).run();
  return out.str();
}

void replies() {
  struct Case {
    std::string input, part;  // a part that the reply has; with a leading '!' one that it must not have
  };
  const std::string started = "MARK\tsimTime=1000\nAT\tmanager=0\n" + launch + pool +
                              "MEMBERSHIP\tversion=1\tmode=remembered\tbank=3\n";
  const Case cases[] = {
      {"MARK\tsimTime=5\nEND\n", "ACK\n"},
      {"MARK\tsimTime=5\nEND\n", "!BY"},
      {started + "END\n", "NOTIFY_ME"},
      {started + request + "END\n", "TRANSMIT\thandle=9\tengine=42\n"},
      {started + request + "END\n", "ASSIGN_TERMS\thandle=9\tmemoryGrant=112.5"},
      {started + "CRASH_NOW\n" + launch + request + "END\n",
       "!TRANSMIT"},  // after a crash the new instance knows no engine
      {started + "END\n\nMARK\tsimTime=2000\nAT\tmanager=0\nWITHDRAWN\thandle=77\nWAKE\tmark=3\nEND\n",
       "ACK\n"},
      {started + "POOL\tbank=3\trows=0\nMEMBERSHIP\tversion=2\tmode=all\tbank=3\n" + request + "END\n",
       "!TRANSMIT"},
  };
  for (const Case& c : cases) {
    const std::string reply = reply_to(c.input);
    const bool is_unwanted = c.part[0] == '!';
    assert((reply.find(is_unwanted ? c.part.substr(1) : c.part) == std::string::npos) == is_unwanted);
  }
}

void malformed() {
  struct Case {
    std::string input, message;
  };
  const Case cases[] = {
      {"MARK\tsimTime=x\n", "line 1: 'simTime': expected a number, got 'x'"},
      {"HELLO\n", "outside a batch"},
      {"MARK\tsimTime=1\nAT\tmanager=0\nWAKE\tmark=1\nEND\n", "line 3: manager 0 has not been launched"},
      {"MARK\tsimTime=1\nWAKE\tmark=1\n", "before any AT"},
      {"MARK\tsimTime=1\n", "ended within a batch"},
      {"MARK\tsimTime=1\nAT\tmanager=0\n" + launch + "WHAT\tx=1\nEND\n", "unknown message 'WHAT'"},
      {"MARK\tsimTime=1\nAT\tmanager=0\n" + launch + "REQ\thandle=1\ttype=other\texpiresIn=5\nEND\n",
       "unknown request type 'other' in 'type'"},
      {"MARK\tsimTime=1\nAT\tmanager=0\n" + launch + "REQ\ttype=lookup\n", "'handle' is missing"},
      {"MARK\tsimTime=1\nAT\tmanager=0\n" + launch + "MEMBERSHIP\tmode=all\tbank=7\n",
       "no POOL with bank 7 has been received"},
      {"MARK\tsimTime=1\nAT\tmanager=0\n" + launch + "ANSWER\thandle=1\tcopy=0\tstateCode=ODD\n",
       "'stateCode': expected one of "},
      {"MARK\tsimTime=1\nPOOL\tbank=0\trows=2\nENTRY\tengine=1\n", "ended within a POOL"},
      {"MARK\tsimTime=9\nEND\nMARK\tsimTime=8\nEND\n", "simTime goes back from 9 to 8"},
      {"MARK\tsimTime=9\nAT\tmanager=0\tstray\n", "expected name=value, got 'stray'"},
  };
  for (const Case& c : cases) {
    std::string message;
    try {
      reply_to(c.input);
    } catch (const Malformed& error) {
      message = error.what();
    }
    assert(message.find(c.message) != std::string::npos);
  }
}

int main() {
  replies();
  malformed();
  return 0;
}
