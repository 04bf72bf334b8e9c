package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// attestedMachine returns a machine of a three-member cluster that has applied an
// assignment without receiving any acknowledgement, and that assignment's offset.
func attestedMachine(t *testing.T) (*Machine, Offset) {
	m := NewMachine(testConfig("a"))
	records := []Record{m.JoinRecord()}
	for _, name := range []string{"b", "c"} {
		records = append(records, NewMachine(testConfig(name)).JoinRecord())
	}
	records = append(records, Record{ID: "r", Kind: AssignRecord, Assign: &Assignments{
		Service: "s", Shards: 1, Servers: []string{"x"}, Moves: []Assignment{{}},
	}})
	for i, r := range records {
		_, err := m.ApplyRecord(time.Millisecond, Offset(i+1), encode(t, r))
		require.NoError(t, err)
	}
	require.Less(t, m.active, Offset(len(records)))
	return m, Offset(len(records))
}

// attestation returns a record that attests every record through active to be in
// force.
func attestation(t *testing.T, active Offset) []byte {
	return encode(t, Record{ID: "m", Author: "b/1", Kind: MarkerRecord, Active: active})
}

func TestAttestedRecordsComeIntoForceWithoutAcknowledgements(t *testing.T) {
	m, at := attestedMachine(t)
	_, err := m.ApplyRecord(time.Millisecond, at+1, attestation(t, at))
	require.NoError(t, err)
	require.GreaterOrEqual(t, m.active, at)
}

// A record may assign the owner that a flag has already put in place. What this host
// has outstanding for the flag is then not registered for the record.
func TestAttestedRecordsWaitForWhatThisHostHolds(t *testing.T) {
	m, at := attestedMachine(t)
	const until = 50 * time.Millisecond
	flag := changeKey{flag: flagKey{service: "s", server: "y"}}
	m.queries[OutstandingQuery{Service: "s"}] = &queryState{keys: []changeKey{flag}, reported: true, until: until}
	_, err := m.ApplyRecord(time.Millisecond, at+1, attestation(t, at))
	require.NoError(t, err)
	require.Less(t, m.active, at)
	m.Tick(until + time.Millisecond)
	require.GreaterOrEqual(t, m.active, at)
}

func TestLateJoinDoesNotReplaceTheNextProcess(t *testing.T) {
	s := NewState()
	process := func(id MemberID, started int64) []byte {
		m := Member{ID: id, Host: "h", PeerAddr: "h:1", Started: started}
		return encode(t, Record{ID: string(id), Kind: JoinRecord, Member: &m})
	}
	steps := []struct {
		id      MemberID
		started int64
		ok      bool
	}{{"h/1", 10, true}, {"h/3", 30, true}, {"h/2", 20, false}}
	for i, step := range steps {
		next, _, err := s.Apply(Offset(i+1), process(step.id, step.started))
		require.Equal(t, step.ok, err == nil, step.id)
		s = next
	}
	require.Equal(t, []MemberID{"h/3"}, s.MemberIDs())
	require.Contains(t, s.Removed, MemberID("h/1"))
}
