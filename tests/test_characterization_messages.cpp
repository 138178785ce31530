// Characterization of every message that goes over a wire or to a disk as protobuf: the shape of the services
// and messages in src/proto, as far as a peer or a file of another build can notice it. That is the full name
// of each method, and of each field its number, type and label; names of messages, fields and files are not
// on the wire. Written from the build of 2026-12-02.
//
// The expected values are not changed in a sitting that renames: a difference there is a rename that broke
// the protocol.
#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <string>
#include <vector>

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::FileDescriptor;

// All of src/proto by its descriptors: the lite runtime of two of the files has none, so protoc writes them.
class MessagesTest : public testing::Test {
 protected:
  MessagesTest() {
    std::ifstream in(PROTO_DESCRIPTORS, std::ios::binary);
    google::protobuf::FileDescriptorSet set;
    EXPECT_TRUE(set.ParseFromIstream(&in));
    for (const auto& file : set.file()) files_.push_back(pool_.BuildFile(file));
  }
  const FileDescriptor* file_of(const std::string& package) const {
    for (const FileDescriptor* file : files_) {
      if (file && file->package() == package) return file;
    }
    return nullptr;
  }

  google::protobuf::DescriptorPool pool_;
  std::vector<const FileDescriptor*> files_;
};

std::string shape_of(const Descriptor& message);

std::string shape_of(const FieldDescriptor& field) {
  std::string text = std::to_string(field.number()) + ":";
  if (field.is_map()) text += "map ";
  else if (field.is_repeated()) text += "repeated ";
  if (field.message_type()) return text + shape_of(*field.message_type());
  text += field.type_name();
  if (!field.enum_type()) return text;
  for (int i = 0; i < field.enum_type()->value_count(); ++i)
    text += (i ? "," : "(") + std::to_string(field.enum_type()->value(i)->number());
  return text + ")";
}

// Fields by their numbers, those of messages within written out.
std::string shape_of(const Descriptor& message) {
  std::vector<const FieldDescriptor*> fields;
  for (int i = 0; i < message.field_count(); ++i) fields.push_back(message.field(i));
  std::ranges::sort(fields, {}, &FieldDescriptor::number);
  std::string text = "{";
  for (const FieldDescriptor* field : fields) text += (text.size() > 1 ? " " : "") + shape_of(*field);
  return text + "}";
}

// The shapes of the messages that no other message holds, sorted.
std::vector<std::string> outermost_shapes(const FileDescriptor& file) {
  std::set<const Descriptor*> within;
  for (int i = 0; i < file.message_type_count(); ++i) {
    for (int f = 0; f < file.message_type(i)->field_count(); ++f)
      within.insert(file.message_type(i)->field(f)->message_type());
  }
  std::vector<std::string> shapes;
  for (int i = 0; i < file.message_type_count(); ++i) {
    if (!within.contains(file.message_type(i))) shapes.push_back(shape_of(*file.message_type(i)));
  }
  std::ranges::sort(shapes);
  return shapes;
}

std::vector<std::string> methods_of(const FileDescriptor& file) {
  std::vector<std::string> methods;
  for (int s = 0; s < file.service_count(); ++s) {
    for (int m = 0; m < file.service(s)->method_count(); ++m) {
      const google::protobuf::MethodDescriptor& method = *file.service(s)->method(m);
      EXPECT_FALSE(method.client_streaming() || method.server_streaming());
      methods.push_back("/" + file.service(s)->full_name() + "/" + method.name() + " " +
                        shape_of(*method.input_type()) + " -> " + shape_of(*method.output_type()));
    }
  }
  return methods;
}

TEST_F(MessagesTest, AgentServiceIsAsItWas) {
  const FileDescriptor* file = file_of("pearchute.agent.v1");
  ASSERT_TRUE(file);
  const std::vector<std::string> expected = {
#include "data/characterization/agent_methods.inc"
  };
  EXPECT_EQ(methods_of(*file), expected);
}

TEST_F(MessagesTest, AdminMessagesAreAsTheyWere) {
  const FileDescriptor* file = file_of("pearchute.admin.v1");
  ASSERT_TRUE(file);
  const std::vector<std::string> expected = {
#include "data/characterization/admin_messages.inc"
  };
  EXPECT_EQ(outermost_shapes(*file), expected);
}

TEST_F(MessagesTest, PersistedOrdersAreAsTheyWere) {
  const std::string expected =
      "{1:repeated {1:string 2:string 3:string 4:uint64 5:bool 6:bool 7:string 8:uint64}}";
  int found = 0;
  for (const FileDescriptor* file : files_) {
    ASSERT_TRUE(file);
    for (const std::string& shape : outermost_shapes(*file)) found += shape == expected;
  }
  EXPECT_EQ(found, 1);
}

}  // namespace
