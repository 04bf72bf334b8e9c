package ownership

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// drawStream draws a stream of records, most of which are valid in their order.
func drawStream(rt *rapid.T) [][]byte {
	var stream [][]byte
	state := NewState()
	for i := range rapid.IntRange(1, 60).Draw(rt, "records") {
		data := drawRecord(rt, state, i)
		stream = append(stream, data)
		state, _, _ = state.Apply(Offset(len(stream)), data)
	}
	return stream
}

func drawRecord(rt *rapid.T, s *State, i int) []byte {
	n := func(limit int) int { return rapid.IntRange(0, limit-1).Draw(rt, "n") }
	id := MemberID(fmt.Sprintf("h%d/1", n(6)))
	r := Record{ID: fmt.Sprint(i), Author: id, Cause: fmt.Sprint("cause ", n(3))}
	service := []string{"s", "t"}[n(2)]
	var base Offset
	if t := s.Tables[service]; t != nil {
		base = t.Version
	}
	switch n(9) {
	case 0, 1:
		r.Kind, r.Member = JoinRecord, &Member{ID: id, Host: string(id)}
	case 2:
		r.Kind, r.Remove, r.Forced = RemoveRecord, []MemberID{id}, n(2) == 0
	case 3:
		r.Kind, r.Drain = DrainRecord, &Drain{Service: service, Server: "a"}
		r.Base = s.DrainBase[*r.Drain]
	case 4:
		r.Kind, r.Drain = UndrainRecord, &Drain{Service: service, Server: "a"}
		r.Base = s.DrainBase[*r.Drain]
	case 5:
		return []byte(`{"kind":"assign","assign":{}}`)
	default:
		key := fmt.Sprintf("k%d", n(3))
		a := &Assignments{Service: service, Base: base, Shards: 4, Servers: []string{"a", "b"}}
		a.Moves = []Assignment{{Shard: Shard(n(4)), Owner: n(2), Successors: []int{n(2)}}}
		if n(3) == 0 {
			a.Pins = []Pin{{Key: key, Owner: n(2)}}
		} else if n(3) == 0 {
			a.Unpins = []string{key}
		}
		r.Kind, r.Assign = AssignRecord, a
	}
	data, err := r.Encode()
	require.NoError(rt, err)
	return data
}

func bodyOf(t require.TestingT, s *State) string {
	data, err := json.Marshal(s.body())
	require.NoError(t, err)
	return string(data)
}

func fold(s *State, from int, stream [][]byte) *State {
	for i, data := range stream {
		s, _, _ = s.Apply(Offset(from+i+1), data)
	}
	return s
}

func TestFoldIsTheSameOnEveryHost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stream := drawStream(rt)
		want := fold(NewState(), 0, stream)

		// A machine that ticks between records and reads some records twice.
		m := NewMachine(testConfig("x"))
		for i := 0; i < len(stream); i++ {
			if rapid.IntRange(0, 3).Draw(rt, "again") == 0 && i > 0 {
				i--
			}
			_, _ = m.ApplyRecord(Instant(i), Offset(i+1), stream[i])
			m.Tick(Instant(i))
		}
		require.Equal(rt, bodyOf(rt, want), bodyOf(rt, m.State()))

		// A state that is restored from a checkpoint.
		cut := rapid.IntRange(0, len(stream)).Draw(rt, "cut")
		packed, err := fold(NewState(), 0, stream[:cut]).EncodeCheckpoint()
		require.NoError(rt, err)
		restored, err := DecodeCheckpoint(packed)
		require.NoError(rt, err)
		require.Equal(rt, bodyOf(rt, want), bodyOf(rt, fold(restored, cut, stream[cut:])))
	})
}

func TestSecondAppendOfARecordChangesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stream := drawStream(rt)
		state := fold(NewState(), 0, stream)
		again := stream[rapid.IntRange(0, len(stream)-1).Draw(rt, "again")]
		next, _, err := state.Apply(state.Applied+1, again)
		r, decodeErr := DecodeRecord(again)
		if decodeErr == nil && r.Kind != MarkerRecord {
			// A void record may become valid later, but no record takes effect twice.
			wasVoid := voidAt(stream, again)
			if !wasVoid {
				require.Error(rt, err)
			} else {
				return
			}
		}
		next.Applied, next.Void, next.Bad = state.Applied, state.Void, state.Bad
		require.Equal(rt, bodyOf(rt, state), bodyOf(rt, next))
	})
}

// voidAt reports whether the first occurrence of data in stream is void.
func voidAt(stream [][]byte, data []byte) bool {
	s := NewState()
	for i, x := range stream {
		var err error
		s, _, err = s.Apply(Offset(i+1), x)
		if string(x) == string(data) {
			return err != nil
		}
	}
	return false
}

func TestRecordsThatAreVoid(t *testing.T) {
	join := Record{ID: "j", Kind: JoinRecord, Member: &Member{ID: "a/1", Host: "a"}}
	assign := func(base Offset, shards int) Record {
		a := &Assignments{Service: "s", Base: base, Shards: shards, Servers: []string{"x"}, Moves: []Assignment{{}}}
		return Record{ID: "a", Kind: AssignRecord, Assign: a}
	}
	drain := func(kind RecordKind, base Offset) Record {
		return Record{ID: "d", Kind: kind, Base: base, Drain: &Drain{Service: "s", Server: "x"}}
	}
	remove := Record{ID: "r", Kind: RemoveRecord, Remove: []MemberID{"a/1"}}
	checkpoint := func(through Offset, hash string) Record {
		s := NewState()
		s.Applied = through
		c, err := s.checkpoint()
		require.NoError(t, err)
		if hash != "" {
			c.Hash = hash
		}
		return Record{ID: "c", Kind: CheckpointRecord, Checkpoint: &c}
	}
	for _, row := range []struct {
		name   string
		before []Record
		void   Record
		kind   fault.Kind
	}{
		{"a second join", []Record{join}, join, fault.Superseded},
		{"a join after the removal", []Record{join, remove}, join, fault.Superseded},
		{"a second removal", []Record{join, remove}, remove, fault.Superseded},
		{"an assignment on an old version", []Record{assign(0, 2), assign(1, 2)}, assign(1, 2), fault.Superseded},
		{"another number of shards", []Record{assign(0, 2)}, assign(1, 3), fault.Superseded},
		{"a drain that arrives again after the undrain", []Record{drain(DrainRecord, 0), drain(UndrainRecord, 1)}, drain(DrainRecord, 0), fault.Superseded},
		{"an undrain of a server that does not drain", nil, drain(UndrainRecord, 0), fault.Superseded},
		{"an older checkpoint", []Record{join, join, checkpoint(2, "")}, checkpoint(1, ""), fault.Superseded},
		{"a checkpoint of records to come", nil, checkpoint(5, ""), fault.Superseded},
		{"a checkpoint with another hash", []Record{join}, checkpoint(1, "00"), fault.BadRecord},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := NewState()
			for _, r := range row.before {
				s, _, _ = s.Apply(s.Applied+1, encode(t, r))
			}
			next, _, err := s.Apply(s.Applied+1, encode(t, row.void))
			require.Equal(t, row.kind, fault.KindOf(err))
			require.Equal(t, s.Void+1, next.Void)
		})
	}
}

func TestUnpinnedKeyGetsAHigherToken(t *testing.T) {
	s := NewState()
	put := func(a Assignments) {
		next, _, err := s.Apply(s.Applied+1, encode(t, Record{ID: "a", Author: "w", Cause: "why", Kind: AssignRecord, Assign: &a}))
		require.NoError(t, err)
		s = next
	}
	put(Assignments{Service: "s", Shards: 1, Servers: []string{"x", "y"}, Moves: []Assignment{{}}})
	put(Assignments{Service: "s", Base: 1, Shards: 1, Servers: []string{"x", "y"}, Pins: []Pin{{Key: "hot", Owner: 1}}})
	require.Equal(t, Placement{Record: 2, Servers: []string{"y"}}, s.Tables["s"].placement("hot"))
	require.Equal(t, Placement{Record: 1, Servers: []string{"x"}}, s.Tables["s"].placement("cold"))
	put(Assignments{Service: "s", Base: 2, Shards: 1, Servers: []string{"x", "y"}, Unpins: []string{"hot"}})
	require.Equal(t, Placement{Record: 3, Servers: []string{"x"}}, s.Tables["s"].placement("hot"))
	cause, ok := s.Tables["s"].Cause(3)
	require.True(t, ok)
	require.Equal(t, Cause{Author: "w", Text: "why"}, cause)
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"id":"1","kind":"join","member":{"id":"a/1"}}`))
	f.Add([]byte(`{"id":"1","kind":"assign","assign":{"service":"s","shards":2,"servers":["a"],"moves":[{"s":1,"o":0,"n":[0]}],"pins":[{"k":"x","o":0}],"unpins":["y"]}}`))
	f.Add([]byte(`{"kind":"drain","drain":{"service":"s","server":"a"},"base":3}`))
	f.Add([]byte(`{"kind":"checkpoint","checkpoint":{"version":1,"through":1,"hash":"","body":"AA=="}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, r, err := NewState().Apply(7, data)
		require.Equal(t, Offset(7), state.Applied)
		if err != nil {
			return
		}
		encoded, err := r.Encode()
		if err != nil {
			return // JSON cannot represent every time
		}
		again, _, err := NewState().Apply(7, encoded)
		require.NoError(t, err)
		require.Equal(t, bodyOf(t, state), bodyOf(t, again))
		_, _ = state.EncodeCheckpoint()
	})
}

func FuzzDecodeCheckpoint(f *testing.F) {
	s := NewState()
	for _, r := range []string{
		`{"kind":"join","member":{"id":"a/1"}}`,
		`{"kind":"assign","assign":{"service":"s","shards":2,"servers":["a"],"moves":[{"s":1,"o":0}],"pins":[{"k":"x","o":0}]}}`,
	} {
		s, _, _ = s.Apply(s.Applied+1, []byte(r))
	}
	data, err := s.EncodeCheckpoint()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"version":1,"unknown":true,"through":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeCheckpoint(data)
		if err != nil {
			require.Equal(t, fault.BadRecord, fault.KindOf(err))
			return
		}
		packed, err := s.EncodeCheckpoint()
		require.NoError(t, err)
		again, err := DecodeCheckpoint(packed)
		require.NoError(t, err)
		require.Equal(t, bodyOf(t, s), bodyOf(t, again))
	})
}
