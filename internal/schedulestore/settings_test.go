package schedulestore

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
)

// An owner of the build before, whose specifications have no settings, stores them as received.
func TestOlderOwnerStoresTheSettingsOfAQueue(t *testing.T) {
	spec := &chervilv2.JobSpec{Id: "1", Queue: "quotes", QueueSettings: &chervilv2.QueueSettings{Service: "desk", MaxAttempts: 3}}
	file := protodesc.ToFileDescriptorProto(chervilv2.File_api_chervil_v2_state_proto)
	message := file.MessageType[slices.IndexFunc(file.MessageType, func(m *descriptorpb.DescriptorProto) bool { return m.GetName() == "JobSpec" })]
	message.Field = slices.DeleteFunc(message.Field, func(f *descriptorpb.FieldDescriptorProto) bool { return f.GetName() == "queue_settings" })
	older, err := protodesc.NewFile(file, nil)
	assert.NilError(t, err)
	received := dynamicpb.NewMessage(older.Messages().ByName("JobSpec"))
	sent, err := proto.Marshal(spec)
	assert.NilError(t, err)
	assert.NilError(t, proto.Unmarshal(sent, received))
	stored, err := proto.Marshal(received)
	assert.NilError(t, err)
	loaded := &chervilv2.JobSpec{}
	assert.NilError(t, proto.Unmarshal(stored, loaded))
	assert.Assert(t, proto.Equal(loaded, spec), "%v", loaded)
}
