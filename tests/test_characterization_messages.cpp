// Characterization of every protobuf message that is sent or stored: the parts of the services and messages
// in src/proto that matter to a peer or a file of another build. These are the full name of each method and
// the number, type and label of each field. Names of messages, fields and files are not encoded. The expected
// values are those of the build of 2026-12-02.
//
// A change that only renames must not change the expected values: a difference means that the rename breaks
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

// Reads the descriptors of all files in src/proto from a file that protoc writes, since two of the files use
// the lite runtime, which has no descriptors.
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

// The fields in the order of their numbers, with the shapes of nested messages written out.
std::string shape_of(const Descriptor& message) {
  std::vector<const FieldDescriptor*> fields;
  for (int i = 0; i < message.field_count(); ++i) fields.push_back(message.field(i));
  std::ranges::sort(fields, {}, &FieldDescriptor::number);
  std::string text = "{";
  for (const FieldDescriptor* field : fields) text += (text.size() > 1 ? " " : "") + shape_of(*field);
  return text + "}";
}

// The sorted shapes of the messages that are no field's type.
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
