package wire

import (
	"flag"
	"os"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/consensus"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
	"endivespring/internal/wire/wirepb"
)

// TestMain fixes the seed of the generated cases, unless a flag sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// wireRange limits generated values to what the messages carry: int fields are
// 32 bits wide on the wire, and enums have few values.
var wireRange = rapid.MakeConfig{Kinds: map[reflect.Kind]*rapid.Generator[any]{
	reflect.Int:   rapid.Map(rapid.Int32(), toInt).AsAny(),
	reflect.Uint8: rapid.Uint8Range(0, 2).AsAny(),
}}

func toInt(n int32) int { return int(n) }

var emptyIsNil = cmpopts.EquateEmpty()

// drawCommand returns a command with exactly one field set.
func drawCommand(t *rapid.T, config rapid.MakeConfig) *fsm.Command {
	command := rapid.MakeCustom[fsm.Command](config).Draw(t, "command")
	fields := reflect.ValueOf(&command).Elem()
	set := rapid.IntRange(0, fields.NumField()-1).Draw(t, "set")
	for i := range fields.NumField() {
		switch {
		case i != set:
			fields.Field(i).SetZero()
		case fields.Field(i).IsNil():
			fields.Field(i).Set(reflect.New(fields.Field(i).Type().Elem()))
		}
	}
	return &command
}

func TestCommandRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		command := drawCommand(t, wireRange)
		data, err := EncodeCommand(command)
		assert.NilError(t, err)
		back, err := DecodeCommand(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, command, emptyIsNil)
	})
}

func TestMessageRoundTrip(t *testing.T) {
	check := func(name string, one func(t *rapid.T)) { t.Run(name, func(t *testing.T) { rapid.Check(t, one) }) }
	check("consensus", func(t *rapid.T) {
		m := rapid.MakeCustom[consensus.Message](wireRange).Draw(t, "message")
		assert.DeepEqual(t, ToMessage(roundTrip(t, FromMessage(&m, "f"))), &m, emptyIsNil)
	})
	check("up", func(t *rapid.T) {
		up := rapid.MakeCustom[session.RouterMessage](wireRange).Draw(t, "up")
		if !up.Registers {
			up.Router = fleet.Router{ID: up.Router.ID}
		}
		assert.DeepEqual(t, ToUp(roundTrip(t, FromUp(&up, "f"))), up, emptyIsNil)
	})
	check("down", func(t *rapid.T) {
		down := rapid.MakeCustom[session.ControlMessage](wireRange).Draw(t, "down")
		change, err := EncodeChange(down.Change)
		assert.NilError(t, err)
		got, err := ToDown(roundTrip(t, FromDown(&down, change)))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, down, emptyIsNil)
	})
	check("call", func(t *rapid.T) {
		c := rapid.MakeCustom[call.Call](wireRange).Draw(t, "call")
		now := clock.Instant(rapid.Int32().Draw(t, "now"))
		assert.DeepEqual(t, ToCall(roundTrip(t, FromCall(&c, now)), now), c, emptyIsNil)
	})
	check("answer", func(t *rapid.T) {
		a := rapid.MakeCustom[call.Answer](wireRange).Draw(t, "answer")
		a.Service, a.Route = "", "" // known to the gateway; not sent
		a.Status = rapid.IntRange(100, 599).Draw(t, "status")
		for i := range a.Header {
			a.Header[i].Name = rapid.StringMatching("[!#$%&'*+.^_`|~0-9A-Za-z-]+").Draw(t, "field name")
		}
		back, intact := ToAnswer(roundTrip(t, FromAnswer(&a)))
		assert.Assert(t, intact)
		assert.DeepEqual(t, back, a, emptyIsNil)
		a.Body = append(a.Body, 'x')
		changed := FromAnswer(&a)
		changed.Body = changed.Body[:len(a.Body)-1]
		_, intact = ToAnswer(roundTrip(t, changed))
		assert.Assert(t, !intact, "a truncated body passes the checksum")
	})
}

// roundTrip encodes and decodes a message.
func roundTrip[M proto.Message](t *rapid.T, message M) M {
	data, err := proto.Marshal(message)
	assert.NilError(t, err)
	out := reflect.New(reflect.TypeOf(message).Elem()).Interface().(M)
	assert.NilError(t, proto.Unmarshal(data, out))
	return out
}

// Restores a state from its encoding and applies the same further commands to
// both: every result and the final states must agree. Commands draw from few
// names and numbers, so that they refer to each other's sessions and shards.
func TestStateRoundTrip(t *testing.T) {
	const term = 1
	few := rapid.SampledFrom([]string{"a", "b", "c"})
	config := rapid.MakeConfig{
		Kinds: map[reflect.Kind]*rapid.Generator[any]{
			reflect.Int: rapid.Map(rapid.Int32(), toInt).AsAny(), reflect.Uint8: rapid.Uint8Range(0, 2).AsAny(),
			reflect.Uint32: rapid.Uint32Range(0, 3).AsAny(), reflect.Uint64: rapid.Uint64Range(0, 4).AsAny(),
		},
		Types: map[reflect.Type]*rapid.Generator[any]{
			reflect.TypeFor[string]():           few.AsAny(),
			reflect.TypeFor[fleet.RouterID]():   rapid.Custom(func(t *rapid.T) fleet.RouterID { return fleet.RouterID(few.Draw(t, "id")) }).AsAny(),
			reflect.TypeFor[fleet.DataCentre](): rapid.Custom(func(t *rapid.T) fleet.DataCentre { return fleet.DataCentre(few.Draw(t, "dc")) }).AsAny(),
		},
	}
	commands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *fsm.Command { return drawCommand(t, config) }), 1, 40)
	rapid.Check(t, func(t *rapid.T) {
		state := fsm.NewState()
		for _, command := range commands.Draw(t, "before") {
			state.Apply(term, command)
		}
		data, err := EncodeState(state)
		assert.NilError(t, err)
		restored, err := DecodeState(data)
		assert.NilError(t, err)
		for _, command := range commands.Draw(t, "after") {
			assert.DeepEqual(t, restored.View.Full(), state.View.Full(), emptyIsNil)
			want, _ := state.Apply(term, command)
			got, _ := restored.Apply(term, command)
			assert.DeepEqual(t, got, want)
		}
		assert.DeepEqual(t, restored.Results, state.Results, emptyIsNil)
		assert.DeepEqual(t, restored.OpenedSessions, state.OpenedSessions, emptyIsNil)
		assert.DeepEqual(t, restored.ShardCounts, state.ShardCounts, emptyIsNil)
		assert.DeepEqual(t, restored.KeptLoads, state.KeptLoads, emptyIsNil)
		assert.DeepEqual(t, restored.FormerRouters, state.FormerRouters, emptyIsNil)
		assert.Equal(t, restored.LastSession, state.LastSession)
		assert.Equal(t, restored.ConfigChangedAt, state.ConfigChangedAt)
	})
}

// An upstream's content type that is not valid UTF-8 must not make the message
// unencodable, which would end the link between two routers.
func TestInvalidContentTypeIsEncodable(t *testing.T) {
	_, err := proto.Marshal(FromAnswer(&call.Answer{ContentType: "text/\xff"}))
	assert.NilError(t, err)
}

// Text of callers and upstreams that is not valid UTF-8 must not make a message
// unencodable: the link would end, with the calls of others in flight on it.
func TestInvalidTextIsEncodable(t *testing.T) {
	text := "/a\xff"
	c := call.Call{RequestID: text, Key: text, Method: text, Target: text, Host: text, Header: []call.HeaderField{{Name: text, Value: text}}}
	data, err := proto.Marshal(FromCall(&c, 0))
	assert.NilError(t, err)
	var message wirepb.Call
	assert.NilError(t, proto.Unmarshal(data, &message))
	assert.DeepEqual(t, ToCall(&message, 0), c, emptyIsNil)
	_, err = proto.Marshal(FromAnswer(&call.Answer{RequestID: text}))
	assert.NilError(t, err)
}

// No input may make decoding panic: the bytes come from disks and other
// processes.
func FuzzDecode(f *testing.F) {
	state, err := EncodeState(fsm.NewState())
	assert.NilError(f, err)
	command, err := EncodeCommand(&fsm.Command{OpenSession: &fsm.OpenSession{Nonce: "n"}})
	assert.NilError(f, err)
	message, err := proto.Marshal(FromMessage(&consensus.Message{Snapshot: &consensus.Snapshot{}, Entries: []consensus.Entry{{Index: 1}}}, "f"))
	assert.NilError(f, err)
	for _, data := range [][]byte{nil, state, command, message, {0xff}, {10, 2, 8, 1}} {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if restored, err := DecodeState(data); err == nil {
			_, err := EncodeState(restored)
			assert.NilError(t, err)
		}
		_, _ = DecodeCommand(data)
		decode(data, &wirepb.ConsensusMessage{}, func(m *wirepb.ConsensusMessage) { ToMessage(m) })
		decode(data, &wirepb.SessionUp{}, func(m *wirepb.SessionUp) { ToUp(m) })
		decode(data, &wirepb.SessionDown{}, func(m *wirepb.SessionDown) { _, _ = ToDown(m) })
		decode(data, &wirepb.Call{}, func(m *wirepb.Call) { ToCall(m, 0) })
		decode(data, &wirepb.Answer{}, func(m *wirepb.Answer) { _, _ = ToAnswer(m) })
	})
}

func decode[M proto.Message](data []byte, message M, use func(M)) {
	if proto.Unmarshal(data, message) == nil {
		use(message)
	}
}
